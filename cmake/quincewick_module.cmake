# Helpers that give every folder a one-line CMakeLists.txt.

add_library(quincewick_options INTERFACE)
target_include_directories(quincewick_options INTERFACE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
target_compile_options(quincewick_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-error=deprecated-declarations)
# Boost.Outcome, the HTTP library and cereal are headers of their own: their warnings are not ours.
target_compile_definitions(quincewick_options INTERFACE CPPHTTPLIB_OPENSSL_SUPPORT CPPHTTPLIB_ZLIB_SUPPORT CPPHTTPLIB_BROTLI_SUPPORT)

# quincewick_module(NAME LIBRARIES...): a static library quincewick_NAME from the .cc files of this folder.
function(quincewick_module NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(SOURCES)
    add_library(quincewick_${NAME} STATIC ${SOURCES})
    target_link_libraries(quincewick_${NAME} PUBLIC quincewick_options ${ARGN})
  else()
    add_library(quincewick_${NAME} INTERFACE)
    target_link_libraries(quincewick_${NAME} INTERFACE quincewick_options ${ARGN})
  endif()
endfunction()

# quincewick_test(NAME LIBRARIES...): a test program NAME_test from the *_test.cc files of this folder, run by CTest.
function(quincewick_test NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT SOURCES)
    return()
  endif()
  add_executable(${NAME}_test ${SOURCES})
  target_link_libraries(${NAME}_test PRIVATE quincewick_test_main ${ARGN})
  add_test(NAME ${NAME} COMMAND ${NAME}_test)
endfunction()

# quincewick_bench(NAME LIBRARIES...): a Google Benchmark program NAME_bench from the *.cc files of this folder.
function(quincewick_bench NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT SOURCES)
    return()
  endif()
  add_executable(${NAME}_bench ${SOURCES})
  target_link_libraries(${NAME}_bench PRIVATE benchmark::benchmark_main benchmark::benchmark ${ARGN})
endfunction()
