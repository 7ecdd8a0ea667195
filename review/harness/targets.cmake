set(harness ${CMAKE_SOURCE_DIR}/review/harness)
add_endivepath_executable(review-case
  SOURCES ${harness}/main.cpp ${harness}/cases.cpp ${harness}/deployment.cpp
          ${harness}/executor.cpp ${harness}/relay.cpp
          ${CMAKE_SOURCE_DIR}/tests/soak/store.cpp
          ${CMAKE_SOURCE_DIR}/tests/support/childprocess.cpp
  DEPENDS base http platformadapter nlohmann_json::nlohmann_json
)
target_include_directories(review-case PRIVATE ${CMAKE_SOURCE_DIR}/src)
