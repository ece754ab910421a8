// Interfaces for HTTP: requests that a node answers and requests that it sends. net/http.h implements both
// with evhttp; tests and the simulation have their own implementations.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "wire/settings.h"

namespace aspenwick::net {

enum class Method : std::uint8_t { get, post, del, other };

/// A received request and its response. Must be answered exactly once, at once or later.
class Exchange {
 public:
  virtual ~Exchange() = default;
  Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  virtual Method method() const = 0;
  /// Without the query string.
  virtual std::string path() const = 0;
  virtual std::string body() const = 0;

  void answer(int status, const std::string& body) { send({status, body, 0, {}}); }
  void answer(int status, const std::string& body, int retry_after_s) {
    send({status, body, retry_after_s, {}});
  }
  void respond_method_not_allowed(const char* allowed) {
    send({405, R"({"error":"wrong method"})", 0, allowed});
  }

 protected:
  struct Answer {
    int status;
    const std::string& body;  // JSON
    int retry_after_s;        // 0: no Retry-After header
    std::string allow;        // empty: no Allow header
  };
  virtual void send(const Answer& answer) = 0;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// `status` 0: no response within the timeout, or no connection. The request may have been executed, or may
/// be executed later.
using ResponseCallback = std::function<void(int status, const std::string& body)>;

/// Sends HTTP requests.
class Requester {
 public:
  virtual ~Requester() = default;
  Requester() = default;
  Requester(const Requester&) = delete;
  Requester& operator=(const Requester&) = delete;

  /// Calls `done` exactly once, at the latest when `timeout` has passed.
  virtual void request(Method method, const wire::Endpoint& to, const std::string& path,
                       const std::string& body, Micros timeout, ResponseCallback done) = 0;
};

}  // namespace aspenwick::net
