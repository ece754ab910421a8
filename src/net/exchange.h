// HTTP as the rest of a node sees it: requests that it answers, requests that it sends. net/http.h does both
// over evhttp; tests and a simulated world bring their own.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "wire/settings.h"

namespace aspenwick::net {

enum class Method : std::uint8_t { get, post, del, other };

/// One request being answered. Must be answered exactly once, now or later.
class Exchange {
 public:
  virtual ~Exchange() = default;
  Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  virtual Method method() const = 0;
  /// Without the query.
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
    int retry_after_s;        // 0: none
    std::string allow;        // empty: none
  };
  virtual void send(const Answer& answer) = 0;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// status 0: no answer in time, or no connection: the request may have been executed, now or later.
using ResponseCallback = std::function<void(int status, const std::string& body)>;

/// Sends requests somewhere.
class Requester {
 public:
  virtual ~Requester() = default;
  Requester() = default;
  Requester(const Requester&) = delete;
  Requester& operator=(const Requester&) = delete;

  /// `done` is called exactly once, at the latest when `timeout` has passed.
  virtual void request(Method method, const wire::Endpoint& to, const std::string& path,
                       const std::string& body, Micros timeout, ResponseCallback done) = 0;
};

}  // namespace aspenwick::net
