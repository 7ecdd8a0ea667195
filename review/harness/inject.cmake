# Adds the stand-ins of the review to the project's build, without a change of its files.
cmake_language(DEFER CALL include ${CMAKE_SOURCE_DIR}/review/harness/targets.cmake)
