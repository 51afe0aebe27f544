// The parts of Boost that need no template arguments, compiled once.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
