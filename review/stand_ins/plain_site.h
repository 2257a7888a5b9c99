// A small site for cases on the plain service: the store, one server that answers as the case says, gateways,
// and single requests of a client.
#pragma once

#include "site.h"

namespace review {

constexpr const char* kKey = "ctnfzs989anu6wsjnban";

inline std::string plainConfiguration(const std::string& kind, int timeout_ms) {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-lookup\",\"host\":\"jepu9.example\",\"pathPrefix\":"
         "\"/fiti832/\",\"kind\":\"" +
         kind + "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
         ",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"parking-app\",\"maxAttempts\":1,"
         "\"public\":false,\"stickySessions\":false,\"resumable\":false}],\"services\":[{\"name\":"
         "\"parking-app\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":"
         "false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"sese880\",\"apiKeys\":[\"" +
         std::string(kKey) + "\"],\"priority\":1,\"isolated\":false}]}";
}

// A server that runs each request once and answers as `answer` says; it checks Quincewick-Target-Instance.
class PlainServer {
 public:
  // Sends the answer; false: the connection is to be closed. `common`: fields that each answer carries.
  using Answer = std::function<bool(int socket, const Message& request, const std::string& common)>;

  PlainServer(Record& record, std::string id, Answer answer)
      : record_(record),
        id_(std::move(id)),
        answer_(std::move(answer)),
        listener_([this](int socket) { serve(socket); }) {}

  void list(Store& store) const {
    store.put("servers", id_, serverRow("parking-app", listener_.port(), "hall-a", 6));
  }
  int runs() const { return runs_; }

 private:
  void serve(int socket) {
    Reader reader(socket);
    Message request;
    while (reader.head(request, secondsNow() + 600) && reader.body(request, false, secondsNow() + 10)) {
      const std::string attempt = request.field("quincewick-attempt-id");
      std::string common = "Quincewick-Attempt-Id: " + attempt + "\r\n";
      if (request.field("quincewick-target-instance") != id_) {
        if (!sendAll(socket, "HTTP/1.1 421 Misdirected Request\r\nQuincewick-Instance-Id: " + id_ + "\r\n" +
                                 common + "Content-Length: 0\r\n\r\n")) {
          return;
        }
        request = Message();
        continue;
      }
      ++runs_;
      record_.line("RUN %s at server %s", attempt.c_str(), id_.c_str());
      common += "Quincewick-Response-Signature: " + id_ + "." + attempt + "\r\n";
      if (!answer_(socket, request, common)) {
        return;
      }
      request = Message();
    }
  }

  Record& record_;
  std::string id_;
  Answer answer_;
  std::atomic<int> runs_{0};
  Listener listener_;
};

inline std::string plainRequest(const std::string& attempt, int deadline_ms) {
  return "POST /fiti832/2f HTTP/1.1\r\nHost: jepu9.example\r\nQuincewick-Attempt-Id: " + attempt +
         "\r\nQuincewick-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " + kKey +
         "\r\nContent-Length: 5\r\n\r\nhello";
}

// A body whose every part shows its place.
inline std::string numberedBody(size_t size) {
  std::string body;
  body.reserve(size + 16);
  for (size_t line = 0; body.size() < size; ++line) {
    char text[17];
    std::snprintf(text, sizeof(text), "%015zu\n", line);
    body += text;
  }
  body.resize(size);
  return body;
}

inline const char* nameOf(End end) {
  switch (end) {
    case End::kOpen:
      return "open";
    case End::kOrderly:
      return "closed in order";
    case End::kReset:
      return "reset";
    case End::kTimeout:
      return "silent";
  }
  return "";
}

}  // namespace review
