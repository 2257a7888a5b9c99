// A connection from a gateway to a stand-in engine: requests one after the other, responses whole or as
// streams of events.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "reactor/connection.h"
#include "reactor/message_reader.h"
#include "types/http_message.h"

namespace quincewick::soak {

class EngineConnection final : public reactor::ConnectionHandler,
                               public std::enable_shared_from_this<EngineConnection> {
 public:
  using Handler = std::function<void(const std::shared_ptr<EngineConnection>& connection,
                                     const HttpHead& head, const std::string& body)>;

  EngineConnection(reactor::Connection::Socket socket, Handler handler);

  void start() { connection_->start(this); }
  bool isOpen() const { return is_open_; }

  // Sends a whole response. Nothing is sent on a closed connection, here and below.
  void respond(int status, HeaderFields fields, const std::string& body);
  void beginStream(HeaderFields fields);
  void sendEvent(const std::string& event);
  void endStream();
  // Ends the connection in the middle of a response.
  void breakOff();

 private:
  void onBytes(std::string_view bytes) override;
  void onEnd(reactor::EndKind kind) override;
  void handleNext();
  void finishRequest();

  Handler handler_;
  std::shared_ptr<reactor::Connection> connection_;
  reactor::MessageReader reader_;
  bool is_open_ = true;
  bool is_busy_ = false;
};

}  // namespace quincewick::soak
