# Functions that declare libraries, programs and tests with the project's common options. Each
# CMakeLists.txt lists only sources and dependencies.

add_library(oriole_options INTERFACE)
target_compile_options(oriole_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
# GCC 12 reports false positives of these two warnings in inlined standard library code.
target_compile_options(oriole_options INTERFACE -Wno-error=maybe-uninitialized
                                                -Wno-error=restrict)
target_compile_definitions(
    oriole_options INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_BEAST_USE_STD_STRING_VIEW
                             ORIOLE_VERSION="${PROJECT_VERSION}")
target_include_directories(oriole_options INTERFACE ${PROJECT_SOURCE_DIR}/src)
target_link_libraries(oriole_options INTERFACE Threads::Threads)
if(ORIOLE_SANITIZE)
    target_compile_options(oriole_options INTERFACE -fsanitize=${ORIOLE_SANITIZE}
                                                    -fno-omit-frame-pointer)
    target_link_options(oriole_options INTERFACE -fsanitize=${ORIOLE_SANITIZE})
    # Ends the program at undefined behaviour. By default it is only printed, and the test passes.
    target_compile_options(oriole_options INTERFACE -fno-sanitize-recover=all)
endif()
if(ORIOLE_SANITIZE STREQUAL "thread")
    # GCC 12 warns that the thread sanitizer does not model atomic_thread_fence, which
    # Asio uses in its headers. The sanitizer may therefore miss the ordering of those fences.
    target_compile_options(oriole_options INTERFACE -Wno-error=tsan)
endif()

# oriole_module(NAME [SOURCES ...] [DEPENDS ...]): the static library oriole_NAME.
function(oriole_module NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(oriole_${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(oriole_${NAME} PUBLIC oriole_options ${ARG_DEPENDS})
endfunction()

# oriole_program(NAME [SOURCES ...] [DEPENDS ...]): an executable in build/bin.
function(oriole_program NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE oriole_options ${ARG_DEPENDS})
endfunction()

# oriole_test(NAME [SOURCES ...] [DEPENDS ...]): a GoogleTest program run by CTest.
function(oriole_test NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE oriole_options ${ARG_DEPENDS} GTest::gtest_main rapidcheck)
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
    add_test(NAME ${NAME} COMMAND ${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()

# oriole_use_network_headers(TARGET): lets TARGET reuse the precompiled header of the target
# oriole_network_headers. The network and JSON libraries in it take seconds to compile per source.
function(oriole_use_network_headers TARGET)
    target_precompile_headers(${TARGET} REUSE_FROM oriole_network_headers)
endfunction()
