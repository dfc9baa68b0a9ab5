// Compiles the implementation files of the Boost libraries that are otherwise header-only, once for
// the whole project.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
