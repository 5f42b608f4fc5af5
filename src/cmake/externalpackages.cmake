# Libraries from Debian. Header-only ones need no target of their own.
find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_library(HTTPLIB_LIBRARY cpp-httplib REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_library(CRITERION_LIBRARY criterion REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
add_compile_definitions(ASIO_STANDALONE _WEBSOCKETPP_CPP11_STL_)
