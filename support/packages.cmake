# Declares one package of the workspace: library trestlepost-<name> with the
# alias target trestlepost::<name>, and one test program for its test/ folder.
include(GoogleTest)

function(trestlepost_package name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK;TESTS" ${ARGN})
  add_library(trestlepost-${name} STATIC ${arg_SOURCES})
  add_library(trestlepost::${name} ALIAS trestlepost-${name})
  target_include_directories(trestlepost-${name} PUBLIC include)
  target_link_libraries(trestlepost-${name} PUBLIC ${arg_LINK})
  if(arg_TESTS)
    trestlepost_test(${name} SOURCES ${arg_TESTS} LINK trestlepost::${name})
  endif()
endfunction()

# Declares a test program. `support/test` fixes RapidCheck's seed by RC_PARAMS,
# so that CI runs are reproducible.
function(trestlepost_test name)
  if(NOT TRESTLEPOST_TESTS)
    return()
  endif()
  trestlepost_test_program(${name} ${ARGN})
  add_test(NAME ${name} COMMAND ${name}-test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()

# Declares a test program of simulations. ctest runs each of its cases
# separately, so that one of them can be known red.
function(trestlepost_simulation_test name)
  if(NOT TRESTLEPOST_TESTS)
    return()
  endif()
  trestlepost_test_program(${name} ${ARGN})
  gtest_discover_tests(${name}-test TEST_PREFIX ${name}. DISCOVERY_TIMEOUT 120
                       PROPERTIES TIMEOUT 600)
endfunction()

# Declares a test program that runs real processes. ctest runs each of its cases
# separately and in parallel: each deployment under test has its own addresses.
function(trestlepost_system_test name)
  trestlepost_test_program(${name} ${ARGN})
  add_dependencies(${name}-test trestlepostd trestlepost trestlepost-bench)
  gtest_discover_tests(${name}-test TEST_PREFIX ${name}. DISCOVERY_TIMEOUT 120
                       PROPERTIES TIMEOUT 300)
endfunction()

function(trestlepost_test_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name}-test ${arg_SOURCES})
  target_link_libraries(${name}-test PRIVATE ${arg_LINK} rapidcheck
                        GTest::gtest GTest::gtest_main)
endfunction()
