// Separate compilation of Asio and Beast: their non-template code is compiled only here.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
