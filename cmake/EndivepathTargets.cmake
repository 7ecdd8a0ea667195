# One function per kind of target, so that each CMakeLists.txt is a list of files and dependencies.

add_library(endivepath_options INTERFACE)
target_compile_options(endivepath_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
target_compile_definitions(endivepath_options INTERFACE ASIO_STANDALONE MSGPACK_NO_BOOST)
target_include_directories(endivepath_options INTERFACE ${CMAKE_SOURCE_DIR}/src/libs
                                                        ${CMAKE_SOURCE_DIR}/src
                                                        ${CMAKE_SOURCE_DIR}/src/plugins)

function(endivepath_split_arguments)
  cmake_parse_arguments(PARSE_ARGV 0 arg "" "" "SOURCES;DEPENDS" )
  set(sources ${arg_SOURCES} PARENT_SCOPE)
  set(depends ${arg_DEPENDS} PARENT_SCOPE)
endfunction()

# add_endivepath_library(<name> SOURCES <files> DEPENDS <targets>): a package under src/libs.
function(add_endivepath_library name)
  endivepath_split_arguments(${ARGN})
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC endivepath_options ${depends})
endfunction()

# add_endivepath_plugin(<name> SOURCES <files> DEPENDS <targets>): a package under src/plugins.
function(add_endivepath_plugin name)
  add_endivepath_library(${name} ${ARGN})
endfunction()

# add_endivepath_executable(<name> SOURCES <files> DEPENDS <targets>)
function(add_endivepath_executable name)
  endivepath_split_arguments(${ARGN})
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE endivepath_options ${depends})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# add_endivepath_test(<name> SOURCES <files> DEPENDS <targets>): the test program of one library.
function(add_endivepath_test name)
  endivepath_split_arguments(${ARGN})
  add_executable(tst_${name} ${sources})
  target_link_libraries(tst_${name} PRIVATE endivepath_options ${depends}
                                            Boost::unit_test_framework)
  target_include_directories(tst_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests/auto)
  target_compile_definitions(tst_${name} PRIVATE BOOST_TEST_DYN_LINK)
  # The first source gets main(); defining the module in each of several sources defines it twice.
  list(GET sources 0 main_source)
  set_property(SOURCE ${main_source} APPEND PROPERTY COMPILE_DEFINITIONS BOOST_TEST_MODULE=${name})
  set_target_properties(tst_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND tst_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "EP_SOFT_ASSERT=abort")
endfunction()
