#include "reactor/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

namespace quincewick::reactor {
namespace {

using boost::asio::ip::tcp;

int socketOption(int descriptor, int level, int name) {
  int value = -1;
  socklen_t size = sizeof(value);
  getsockopt(descriptor, level, name, &value, &size);
  return value;
}

// Guards against a stream whose engine lost power waiting until the request's deadline: the gateway had no
// unacknowledged data, so only keep-alive probes reveal the loss.
TEST_CASE("dropping a silent peer enables keep-alive probes on an idle connection") {
  boost::asio::io_context reactor;
  tcp::acceptor acceptor(reactor, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Connection::Socket socket(reactor);
  socket.connect(acceptor.local_endpoint());
  const int descriptor = socket.native_handle();
  Connection connection(std::move(socket));
  CHECK(socketOption(descriptor, SOL_SOCKET, SO_KEEPALIVE) == 0);
  connection.dropWhenPeerIsSilent(absl::Seconds(1));
  CHECK(socketOption(descriptor, SOL_SOCKET, SO_KEEPALIVE) == 1);
  CHECK(socketOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE) == 1);
  CHECK(socketOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL) == 1);
  CHECK(socketOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT) == 2);
  CHECK(socketOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT) == 1000);
}

}  // namespace
}  // namespace quincewick::reactor
