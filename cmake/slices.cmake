# Helpers that turn a folder into a library, a program or a test.

set(TQ_LIBRARIES "" CACHE INTERNAL "slice libraries, dependants last")

# Seconds; only ends a test that hangs. Sanitizers slow a program down up to
# fifteen times.
set(TQ_TEST_TIMEOUT 300)
if(TQ_SANITIZE)
  set(TQ_TEST_TIMEOUT 900)
endif()

add_library(tq_options INTERFACE)
target_include_directories(tq_options INTERFACE
  ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/generated)
target_include_directories(tq_options SYSTEM INTERFACE
  ${PROJECT_SOURCE_DIR}/generated)
target_compile_definitions(tq_options INTERFACE
  BOOST_LOG_DYN_LINK BOOST_ASIO_NO_DEPRECATED BOOST_BIND_GLOBAL_PLACEHOLDERS
  BOOST_ASIO_DISABLE_CONCEPTS)
# g++ 12 reports the frames of Asio coroutines as mismatched allocations.
target_compile_options(tq_options INTERFACE -Wall -Wextra
  -Wno-missing-field-initializers -Wno-mismatched-new-delete)
target_link_libraries(tq_options INTERFACE
  Threads::Threads Boost::log Boost::thread Boost::system OpenSSL::SSL
  OpenSSL::Crypto yaml-cpp CLI11::CLI11 tl::expected nlohmann_json::nlohmann_json
  fmt::fmt PkgConfig::GRPC PkgConfig::ZMQ PkgConfig::XXHASH
  protobuf::libprotobuf)

# Compiles the committed generated code.
function(tq_generated)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/generated/*.cc)
  add_library(tq_generated STATIC ${sources})
  target_link_libraries(tq_generated PUBLIC tq_options)
  target_compile_options(tq_generated PRIVATE -w)
endfunction()

# Splits the sources of a folder into product and test files.
function(tq_sources folder out_sources out_tests)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${folder}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  set(${out_sources} ${sources} PARENT_SCOPE)
  set(${out_tests} ${tests} PARENT_SCOPE)
endfunction()

# A program; the thread sanitizer also needs to see the locks and the completion
# queues of gRPC.
function(tq_executable name)
  add_executable(${name} ${ARGN})
  if(TQ_SANITIZE STREQUAL "thread")
    target_sources(${name} PRIVATE
      ${PROJECT_SOURCE_DIR}/cmake/thread_sanitizer_grpc.cpp
      ${PROJECT_SOURCE_DIR}/cmake/thread_sanitizer_mutex.cpp)
    target_link_libraries(${name} PRIVATE ${CMAKE_DL_LIBS})
  endif()
endfunction()

# Compiled once for all tests; the linter reads a file as often as it is compiled.
function(tq_test_main)
  if(NOT TQ_TESTS)
    return()
  endif()
  add_library(tq_test_main OBJECT
    ${PROJECT_SOURCE_DIR}/tests/support/unit_test_main.cpp)
  target_link_libraries(tq_test_main PRIVATE tq_options PkgConfig::CPPUNIT)
endfunction()

# A unit-test program of the *_test.cpp files of one folder.
function(tq_unit_tests name tests)
  if(NOT tests OR NOT TQ_TESTS)
    return()
  endif()
  tq_executable(${name}_tests ${tests}
    $<TARGET_OBJECTS:tq_test_main>)
  target_link_libraries(${name}_tests PRIVATE ${ARGN} rapidcheck
    PkgConfig::CPPUNIT)
  target_include_directories(${name}_tests PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  add_test(NAME unit.${name} COMMAND ${name}_tests)
  # RapidCheck reads its seed from here, so every run makes the same cases.
  set_tests_properties(unit.${name} PROPERTIES TIMEOUT ${TQ_TEST_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# A slice: src/<name> becomes the library tq_<name>.
function(tq_slice name)
  tq_sources(src/${name} sources tests)
  if(NOT sources)
    file(GLOB headers CONFIGURE_DEPENDS
      ${PROJECT_SOURCE_DIR}/src/${name}/*.hpp)
    if(NOT headers)
      return()
    endif()
    add_library(tq_${name} INTERFACE)
    target_link_libraries(tq_${name} INTERFACE ${TQ_LIBRARIES} tq_generated
      tq_options)
  else()
    add_library(tq_${name} STATIC ${sources})
    target_link_libraries(tq_${name} PUBLIC ${TQ_LIBRARIES} tq_generated
      tq_options)
  endif()
  tq_unit_tests(${name} "${tests}" tq_${name})
  set(TQ_LIBRARIES ${TQ_LIBRARIES} tq_${name} CACHE INTERNAL "")
endfunction()

# A program with all slices linked; its folder may hold unit tests as well.
function(tq_program name folder)
  tq_sources(${folder} sources tests)
  if(NOT sources)
    return()
  endif()
  set(library_sources ${sources})
  list(FILTER library_sources EXCLUDE REGEX "/main\\.cpp$")
  string(REPLACE "-" "_" id ${name})
  if(library_sources)
    add_library(${id}_parts STATIC ${library_sources})
    target_link_libraries(${id}_parts PUBLIC ${TQ_LIBRARIES} tq_generated
      tq_options)
    target_include_directories(${id}_parts PUBLIC ${PROJECT_SOURCE_DIR})
    set(parts ${id}_parts)
  endif()
  tq_executable(${name} ${PROJECT_SOURCE_DIR}/${folder}/main.cpp)
  target_link_libraries(${name} PRIVATE ${parts} ${TQ_LIBRARIES} tq_generated
    tq_options)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  tq_unit_tests(${id} "${tests}" ${parts} ${TQ_LIBRARIES} tq_generated
    tq_options)
endfunction()

# The adapter of the users' platform; only programs may use it.
function(tq_platform_adapter)
  tq_sources(platform sources tests)
  add_library(tq_platform_adapter STATIC ${sources})
  target_link_libraries(tq_platform_adapter PUBLIC ${TQ_LIBRARIES} tq_generated
    tq_options)
  target_include_directories(tq_platform_adapter PUBLIC ${PROJECT_SOURCE_DIR})
  tq_unit_tests(platform_adapter "${tests}" tq_platform_adapter)
endfunction()

# Tests with real processes: each tests/<name>_test.cpp is one program.
function(tq_integration_tests)
  if(NOT TQ_TESTS)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/*_test.cpp)
  file(GLOB support CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/tests/support/*.cpp)
  list(FILTER support EXCLUDE REGEX "unit_test_main\\.cpp$")
  if(NOT tests)
    return()
  endif()
  if(support)
    add_library(tq_test_support STATIC ${support})
    target_include_directories(tq_test_support PUBLIC
      ${PROJECT_SOURCE_DIR}/tests ${PROJECT_SOURCE_DIR})
    target_link_libraries(tq_test_support PUBLIC ${TQ_LIBRARIES} tq_generated
      tq_options PkgConfig::CPPUNIT rapidcheck)
  endif()
  foreach(test ${tests})
    get_filename_component(name ${test} NAME_WE)
    tq_executable(${name} ${test}
      $<TARGET_OBJECTS:tq_test_main>)
    if(support)
      target_link_libraries(${name} PRIVATE tq_test_support)
    endif()
    target_link_libraries(${name} PRIVATE ${TQ_LIBRARIES} tq_generated
      tq_options PkgConfig::CPPUNIT rapidcheck)
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests
      ${PROJECT_SOURCE_DIR})
    string(REGEX REPLACE "_test$" "" short ${name})
    add_test(NAME integration.${short} COMMAND ${name})
    # Two at a time: each starts up to twenty processes.
    set_tests_properties(integration.${short} PROPERTIES
      TIMEOUT ${TQ_TEST_TIMEOUT} PROCESSORS 4 ENVIRONMENT
      "TQ_BIN_DIR=${CMAKE_BINARY_DIR}/bin;RC_PARAMS=seed=20261204")
  endforeach()
endfunction()
