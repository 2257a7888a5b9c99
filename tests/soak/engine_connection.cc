#include "engine_connection.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace quincewick::soak {

EngineConnection::EngineConnection(reactor::Connection::Socket socket, Handler handler)
    : handler_(std::move(handler)),
      connection_(std::make_shared<reactor::Connection>(std::move(socket))),
      reader_(reactor::MessageKind::kRequest, {}) {}

void EngineConnection::onBytes(std::string_view bytes) {
  reader_.take(bytes);
  handleNext();
}

void EngineConnection::onEnd(reactor::EndKind /*kind*/) {
  is_open_ = false;
}

void EngineConnection::handleNext() {
  if (!is_busy_ && is_open_ && reader_.status() == reactor::ReadStatus::kDone) {
    is_busy_ = true;
    handler_(shared_from_this(), reader_.head(), reader_.takeBody());
  }
}

void EngineConnection::respond(int status, HeaderFields fields, const std::string& body) {
  if (!is_open_) {
    return;
  }
  fields.push_back({"Content-Length", absl::StrCat(body.size())});
  connection_->send(printResponseHead(status, reasonOf(status), fields) + body);
  finishRequest();
}

void EngineConnection::beginStream(HeaderFields fields) {
  if (!is_open_) {
    return;
  }
  fields.push_back({"Content-Type", "text/event-stream"});
  fields.push_back({"Transfer-Encoding", "chunked"});
  connection_->send(printResponseHead(200, reasonOf(200), fields));
}

void EngineConnection::sendEvent(const std::string& event) {
  if (is_open_) {
    connection_->send(printChunk(event));
  }
}

void EngineConnection::endStream() {
  if (is_open_) {
    connection_->send(kLastChunk);
    finishRequest();
  }
}

void EngineConnection::breakOff() {
  if (is_open_) {
    is_open_ = false;
    connection_->closeWhenSent();
  }
}

void EngineConnection::finishRequest() {
  is_busy_ = false;
  reader_.next();
  reader_.take({});
  handleNext();
}

}  // namespace quincewick::soak
