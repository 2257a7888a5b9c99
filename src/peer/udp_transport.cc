#include "peer/udp_transport.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <thread>
#include <utility>

namespace quincewick::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Datagrams that wait to be sent at most.
constexpr size_t kMaximumQueue = 4096;
// The system's buffer for received datagrams, in bytes: a herd's greetings fit.
constexpr int kReceiveBufferSize = 1024 * 1024;

Result<udp::endpoint> toEndpoint(const Address& address) {
  error_code error;
  const asio::ip::address numeric = asio::ip::make_address(address.host, error);
  if (error) {
    return fail(ErrorCode::kInvalidArgument, "not a numeric address: " + address.host);
  }
  return udp::endpoint(numeric, address.port);
}

Address toAddress(const udp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

}  // namespace

// The socket, its queue and its thread. Only the thread touches the socket.
class UdpTransport::Socket {
 public:
  explicit Socket(Receiver receiver) : receiver_(std::move(receiver)), socket_(context_) {}

  ~Socket() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  error_code bind(const udp::endpoint& local) {
    error_code error;
    socket_.open(local.protocol(), error);
    if (!error) {
      socket_.bind(local, error);
    }
    if (!error) {
      error_code ignored;  // a smaller buffer only loses more datagrams in a burst
      socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferSize), ignored);
      socket_.non_blocking(true, error);
    }
    return error;
  }

  udp::endpoint localEndpoint() const {
    error_code ignored;
    return socket_.local_endpoint(ignored);
  }

  void start() {
    receiveNext();
    thread_ = std::thread([this] { context_.run(); });
  }

  bool enqueue(const udp::endpoint& to, std::string bytes) {
    {
      const absl::MutexLock lock(&mutex_);
      if (queue_.size() >= kMaximumQueue) {
        ++counters_.queue_full;
        return false;
      }
      queue_.emplace_back(to, std::move(bytes));
      if (std::exchange(flush_posted_, true)) {
        return true;
      }
    }
    asio::post(context_, [this] { flush(); });
    return true;
  }

  void count(uint64_t UdpCounters::*counter) {
    const absl::MutexLock lock(&mutex_);
    ++(counters_.*counter);
  }

  UdpCounters counters() const {
    const absl::MutexLock lock(&mutex_);
    return counters_;
  }

 private:
  void flush() {
    std::deque<std::pair<udp::endpoint, std::string>> batch;
    {
      const absl::MutexLock lock(&mutex_);
      batch.swap(queue_);
      flush_posted_ = false;
    }
    for (const auto& [to, bytes] : batch) {
      error_code error;
      socket_.send_to(asio::buffer(bytes), to, 0, error);
      const absl::MutexLock lock(&mutex_);
      if (error) {
        ++counters_.send_errors;  // also when the system's buffer is full: loss is allowed
        continue;
      }
      ++counters_.datagrams_sent;
      counters_.bytes_sent += bytes.size();
    }
  }

  void receiveNext() {
    socket_.async_receive_from(asio::buffer(buffer_), from_, [this](const error_code& error, size_t size) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (!error) {
        deliver(size);
      }
      receiveNext();
    });
  }

  void deliver(size_t size) {
    if (size > kMaximumDatagramSize) {
      count(&UdpCounters::too_long);
      return;
    }
    {
      const absl::MutexLock lock(&mutex_);
      ++counters_.datagrams_received;
      counters_.bytes_received += size;
    }
    receiver_(toAddress(from_), std::string(buffer_.data(), size));
  }

  const Receiver receiver_;
  asio::io_context context_{1};
  udp::socket socket_;
  std::thread thread_;
  std::array<char, kMaximumDatagramSize + 1> buffer_{};  // one more byte shows a datagram that is too long
  udp::endpoint from_;
  mutable absl::Mutex mutex_;
  std::deque<std::pair<udp::endpoint, std::string>> queue_ ABSL_GUARDED_BY(mutex_);
  bool flush_posted_ ABSL_GUARDED_BY(mutex_) = false;
  UdpCounters counters_ ABSL_GUARDED_BY(mutex_);
};

Result<std::unique_ptr<UdpTransport>> UdpTransport::open(const Address& local, Receiver receiver) {
  BOOST_OUTCOME_TRY(endpoint, toEndpoint(local));
  auto socket = std::make_unique<Socket>(std::move(receiver));
  if (const error_code error = socket->bind(endpoint)) {
    return fail(ErrorCode::kUnavailable, "can't bind " + local.host + ": " + error.message());
  }
  const Address bound = toAddress(socket->localEndpoint());
  socket->start();
  return std::unique_ptr<UdpTransport>(new UdpTransport(std::move(socket), bound));
}

UdpTransport::UdpTransport(std::unique_ptr<Socket> socket, Address local)
    : socket_(std::move(socket)), local_(std::move(local)) {}

UdpTransport::~UdpTransport() = default;

bool UdpTransport::send(const Address& to, std::string bytes) {
  if (bytes.size() > kMaximumDatagramSize) {
    socket_->count(&UdpCounters::too_long);
    return false;
  }
  const Result<udp::endpoint> endpoint = toEndpoint(to);
  if (!endpoint) {
    socket_->count(&UdpCounters::send_errors);
    return false;
  }
  return socket_->enqueue(endpoint.value(), std::move(bytes));
}

UdpCounters UdpTransport::counters() const {
  return socket_->counters();
}

}  // namespace quincewick::peer
