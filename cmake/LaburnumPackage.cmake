# Helpers that declare a package, its tests and its programs in one line each.

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_library(LABURNUM_LOG4CPLUS log4cplus REQUIRED)
find_library(LABURNUM_XXHASH xxhash REQUIRED)

add_library(laburnum_options INTERFACE)
# g++ 12 warns of a mismatch in the frame allocator of Asio coroutines that is none.
target_compile_options(laburnum_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers -Wno-mismatched-new-delete)
target_compile_definitions(
  laburnum_options
  INTERFACE BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
            BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_THREADS)
if(LABURNUM_SANITIZE)
  # Without -O1 the explorers of held steps take ten minutes under the sanitizers. With it g++ 12 warns
  # of uninitialized members inside std::regex and std::variant that are none (GCC bug 105562).
  target_compile_options(laburnum_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer
                                                    -O1 -Wno-maybe-uninitialized)
  target_link_options(laburnum_options INTERFACE -fsanitize=address,undefined)
endif()
if(LABURNUM_FUZZ)
  target_compile_options(laburnum_options INTERFACE -fsanitize=fuzzer-no-link,address)
  target_link_options(laburnum_options INTERFACE -fsanitize=address)
endif()

# laburnum_link(<target> <scope> <package>...): links packages. Packages with
# plug-ins are linked whole, or the linker would drop the registrars.
function(laburnum_link target scope)
  foreach(package ${ARGN})
    if(package STREQUAL policy)
      target_link_libraries(${target} ${scope} "$<LINK_LIBRARY:WHOLE_ARCHIVE,laburnum_policy>")
    else()
      target_link_libraries(${target} ${scope} laburnum_${package})
    endif()
  endforeach()
endfunction()

# laburnum_package(<name> SOURCES ... DEPENDS ...): static library laburnum_<name>.
function(laburnum_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(laburnum_${name} STATIC ${ARG_SOURCES})
  target_include_directories(laburnum_${name} SYSTEM PUBLIC ${Boost_INCLUDE_DIRS})
  target_include_directories(laburnum_${name} PUBLIC include)
  target_include_directories(laburnum_${name} PRIVATE src)
  target_link_libraries(laburnum_${name} PUBLIC laburnum_options)
  laburnum_link(laburnum_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# laburnum_test(<package> SOURCES ... DEPENDS ...): one Catch2 program a package.
function(laburnum_test name)
  if(NOT LABURNUM_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(laburnum_${name}_tests ${ARG_SOURCES})
  target_link_libraries(laburnum_${name}_tests PRIVATE laburnum_catch_main)
  laburnum_link(laburnum_${name}_tests PRIVATE ${name} ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND laburnum_${name}_tests --rng-seed 1)
endfunction()

if(LABURNUM_BUILD_TESTS)
  file(WRITE ${CMAKE_BINARY_DIR}/catch_main.cpp
       "#define CATCH_CONFIG_MAIN\n#include <catch2/catch.hpp>\n")
  add_library(laburnum_catch_main STATIC ${CMAKE_BINARY_DIR}/catch_main.cpp)
  target_link_libraries(laburnum_catch_main PUBLIC laburnum_options)
endif()
