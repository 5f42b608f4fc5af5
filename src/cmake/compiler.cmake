# Warnings and the compiler cache.
add_compile_options(-Wall -Wextra -Wpedantic -Werror=return-type)
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    # Paths relative to the checkout, so that all checkouts of a machine share the cache.
    set(CMAKE_CXX_COMPILER_LAUNCHER
        env "CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}" CCACHE_NOHASHDIR=1 "${CCACHE_PROGRAM}")
endif()
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
