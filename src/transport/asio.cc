// Compiles the sources of Boost.Asio and Boost.Beast, which the project uses as
// separately compiled libraries instead of header-only.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
