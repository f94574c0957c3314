// Compiles the non-template parts of Asio and Beast, for the whole program.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
