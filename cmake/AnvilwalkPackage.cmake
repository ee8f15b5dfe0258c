# Functions that declare the packages, programs and tests of the workspace.

add_library(anvilwalk_warnings INTERFACE)
target_compile_options(anvilwalk_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)

# anvilwalk_package(NAME DEPENDS ...): a static library from packages/NAME/src with headers in include/.
function(anvilwalk_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src/*.cpp)
    add_library(anvilwalk_${name} STATIC ${sources})
    target_include_directories(anvilwalk_${name} PUBLIC ${name}/include PRIVATE ${name}/src)
    target_link_libraries(anvilwalk_${name} PUBLIC ${ARG_DEPENDS} PRIVATE anvilwalk_warnings)
endfunction()

# anvilwalk_backend(PACKAGE NAME DEPENDS ...): a static library from packages/PACKAGE/NAME.
function(anvilwalk_backend package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${package}/${name}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_library(anvilwalk_${package}_${name} STATIC ${sources})
    target_include_directories(anvilwalk_${package}_${name} PUBLIC ${package}/${name}/include)
    target_link_libraries(anvilwalk_${package}_${name}
        PUBLIC anvilwalk_${package} ${ARG_DEPENDS} PRIVATE anvilwalk_warnings)
endfunction()

# anvilwalk_program(NAME DEPENDS ...): a program from all sources of the current folder's subfolder NAME.
function(anvilwalk_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} anvilwalk_warnings)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# anvilwalk_tests(FOLDER DEPENDS ...): a Catch2 program from tests/FOLDER/*Test.cpp; each case is a ctest test.
function(anvilwalk_tests folder)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*Test.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(test_${folder} ${sources})
    target_link_libraries(test_${folder} PRIVATE ${ARG_DEPENDS} anvilwalk_test_main anvilwalk_warnings)
    target_include_directories(test_${folder} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    catch_discover_tests(test_${folder} TEST_PREFIX "${folder}: " PROPERTIES TIMEOUT 300)
endfunction()
