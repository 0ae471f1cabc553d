# Shared build rules: one function per kind of target, so that a package's CMake file only lists names.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost REQUIRED COMPONENTS log)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(cxxopts REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenTracing CONFIG REQUIRED)
find_package(fmt REQUIRED)
pkg_check_modules(ACE REQUIRED IMPORTED_TARGET ACE)
pkg_check_modules(MHD REQUIRED IMPORTED_TARGET libmicrohttpd)
if(NOT PLANTAINDOOR_DEPLOY)
    find_package(Protobuf REQUIRED)
    find_package(gRPC CONFIG REQUIRED)
    find_package(Catch2 2 REQUIRED)
    find_package(trompeloeil REQUIRED)
endif()

find_program(CCACHE ccache)
if(CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

add_library(plantaindoor_flags INTERFACE)
target_compile_options(plantaindoor_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror
    -Wno-missing-field-initializers
    -Wno-restrict) # False positive of GCC 12 for literal + std::string (GCC bug 105329).
target_compile_definitions(plantaindoor_flags INTERFACE BOOST_LOG_DYN_LINK)
if(PLANTAINDOOR_SANITIZE)
    target_compile_options(plantaindoor_flags INTERFACE -fsanitize=address,undefined
        -fno-sanitize-recover=undefined -fno-omit-frame-pointer
        -O1 # The tests that enumerate cases take minutes without it.
        -Wno-maybe-uninitialized) # False positive of GCC 12 in std::regex with sanitizers; on in Release.
    target_link_options(plantaindoor_flags INTERFACE -fsanitize=address,undefined)
endif()

# Test main shared by the test programs of all packages, as Catch2's main is slow to compile.
if(NOT PLANTAINDOOR_DEPLOY)
    add_library(plantaindoor_test_main STATIC ${CMAKE_SOURCE_DIR}/tests/test_main.cpp)
    target_link_libraries(plantaindoor_test_main PUBLIC plantaindoor_flags Catch2::Catch2)
endif()

# Declares library plantaindoor_NAME from src/*.cpp of the calling package, except the sources in the
# list NAME_own_libraries, which belong to smaller libraries.
function(plantaindoor_package name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    list(REMOVE_ITEM sources ${${name}_own_libraries})
    add_library(plantaindoor_${name} STATIC ${sources})
    target_include_directories(plantaindoor_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(plantaindoor_${name} PUBLIC plantaindoor_flags ${ARGN})
endfunction()

# Declares test program NAME_test from tests/*_test.cpp of the calling package.
function(plantaindoor_package_tests name)
    if(PLANTAINDOOR_DEPLOY)
        return()
    endif()
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(sources)
        add_executable(${name}_test ${sources})
        target_link_libraries(${name}_test PRIVATE plantaindoor_${name} plantaindoor_fakes
            plantaindoor_test_main rapidcheck ${ARGN})
        add_test(NAME ${name} COMMAND ${name}_test)
        set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 300)
    endif()
endfunction()
