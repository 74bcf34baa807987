# Helpers that give every package the same shape: one library, one test program.

option(FLAMINGOWICK_TESTS "Build the tests" ON)
option(FLAMINGOWICK_SANITIZE "Sanitizers to build with, as in -fsanitize=" "")

add_library(flamingowick_options INTERFACE)
target_compile_options(flamingowick_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
target_compile_definitions(flamingowick_options INTERFACE ASIO_STANDALONE)
if(FLAMINGOWICK_SANITIZE)
  target_compile_options(flamingowick_options INTERFACE
    -fsanitize=${FLAMINGOWICK_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  target_link_options(flamingowick_options INTERFACE -fsanitize=${FLAMINGOWICK_SANITIZE})
endif()

if(FLAMINGOWICK_SANITIZE MATCHES "thread" AND CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # Asio's executors hold a fence that this sanitizer can't follow and warns about.
  target_compile_options(flamingowick_options INTERFACE -Wno-tsan)
endif()

find_package(Threads REQUIRED)

# flamingowick_package(<name> [SOURCES ...] [DEPENDS ...] [LIBRARIES ...] [TESTS ...] [SEPARATE ...])
# SEPARATE names slow test groups that ctest runs beside the others, as <group> or <group>.<test>. Their
# names contain "Schedules"; the groups whose names don't run as the test <name>.
# SOURCES and TESTS default to src/**.cpp and tests/**.cpp. DEPENDS names other packages, LIBRARIES
# names system libraries to link.
function(flamingowick_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES;TESTS;TEST_LIBRARIES;SEPARATE" ${ARGN})
  if(NOT ARG_SOURCES)
    file(GLOB_RECURSE ARG_SOURCES CONFIGURE_DEPENDS src/*.cpp)
  endif()
  if(NOT ARG_TESTS)
    file(GLOB_RECURSE ARG_TESTS CONFIGURE_DEPENDS tests/*.cpp)
  endif()
  add_library(flamingowick_${name} STATIC ${ARG_SOURCES})
  add_library(flamingowick::${name} ALIAS flamingowick_${name})
  target_include_directories(flamingowick_${name} PUBLIC include)
  target_link_libraries(flamingowick_${name} PUBLIC flamingowick_options Threads::Threads)
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(flamingowick_${name} PUBLIC flamingowick::${dependency})
  endforeach()
  target_link_libraries(flamingowick_${name} PUBLIC ${ARG_LIBRARIES})
  if(ARG_TESTS AND FLAMINGOWICK_TESTS)
    add_executable(flamingowick_${name}_tests ${ARG_TESTS})
    target_link_libraries(flamingowick_${name}_tests PRIVATE
      flamingowick::${name} ${ARG_TEST_LIBRARIES} CppUTest CppUTestExt rapidcheck)
    add_custom_target(test-${name} DEPENDS flamingowick_${name}_tests)
    set(testNames ${name})
    set(excluded "")
    foreach(separate IN LISTS ARG_SEPARATE)
      set(excluded -xg Schedules)
      if(separate MATCHES "\\.")
        add_test(NAME ${name}.${separate} COMMAND flamingowick_${name}_tests -t ${separate})
      else()
        add_test(NAME ${name}.${separate} COMMAND flamingowick_${name}_tests -sg ${separate})
      endif()
      list(APPEND testNames ${name}.${separate})
    endforeach()
    add_test(NAME ${name} COMMAND flamingowick_${name}_tests ${excluded})
    set_tests_properties(${testNames} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 2400)
  endif()
endfunction()
