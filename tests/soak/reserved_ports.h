// Distinct ports for gateways. Each port stays bound without listening, so that the system assigns it to no
// other process while its gateway is down; SO_REUSEADDR lets the gateway bind it as well.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>

#include "types/back_end.h"

namespace quincewick::soak {

class ReservedPorts {
 public:
  explicit ReservedPorts(boost::asio::io_context& reactor) : reactor_(reactor) {}
  Address next() {
    using boost::asio::ip::tcp;
    tcp::acceptor& acceptor = acceptors_.emplace_back(reactor_);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
  }

 private:
  boost::asio::io_context& reactor_;
  std::list<boost::asio::ip::tcp::acceptor> acceptors_;
};

}  // namespace quincewick::soak
