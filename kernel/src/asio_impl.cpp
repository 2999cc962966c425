// The one translation unit that compiles the bodies of Asio and Beast.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
