// Compiles the sources of the header-only Boost libraries once for the whole workspace.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
