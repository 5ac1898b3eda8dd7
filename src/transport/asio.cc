// The compiled part of Boost.Asio and Boost.Beast, once for the project.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
