// A caller's connection. Internal to the SIP frontend.
//
// Splits the input into messages and records the releases sent on it that may not have been read.
//
// Threads: as net::Peer; the releases are guarded by the frontend's lock.
#pragma once

#include "membership/pending_releases.h"
#include "platform/sip.h"

namespace reeltack::platform {

// A caller that is connected reads at once: a release sent longer ago than `settled` was read, or the caller
// is unreachable. The value exceeds our own delay in noticing a close on a loaded machine, and is shorter
// than the time after which a caller closes an idle connection (4 s).
inline constexpr membership::PendingReleasesSettings kReleases{.assume_read_after = std::chrono::seconds(3),
                                                               .max_size = 256};

// `echoed`: the headers of the request that its answer repeats.
std::string sip_answer(int status, const char* reason, const std::string& echoed,
                       const std::string& more = "", const std::string& body = "");

class SipConnection final : public net::Peer {
 public:
  SipConnection(SipFrontend& front, net::Fd fd) : net::Peer(std::move(fd)), front_(front) {}

 protected:
  Next received() override {
    const auto self = std::static_pointer_cast<SipConnection>(shared_from_this());
    for (;;) {
      SipMessage message;
      std::size_t used = 0;
      const ParseResult parsed = parse_sip(buffer_.view(), message, used);
      buffer_.take(used);
      if (parsed == ParseResult::more) return Next::more;
      if (parsed == ParseResult::malformed) {
        push("SIP/2.0 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        return hang_up();
      }
      message_complete();
      // The end of the message is known, so the following ones can still be parsed.
      if (!front_.handle_message(self, message)) push(sip_answer(400, "Bad Request", message.echoed()));
    }
  }
  // A set-up that crosses our close is sent again by its caller; a release is not.
  [[nodiscard]] bool takes_after_close() const override { return true; }
  void received_after_close() override {
    for (;;) {
      SipMessage message;
      std::size_t used = 0;
      const ParseResult parsed = parse_sip(buffer_.view(), message, used);
      if (parsed == ParseResult::malformed) return buffer_.take(buffer_.view().size());
      buffer_.take(used);
      if (parsed == ParseResult::more) return;
      front_.handle_after_close(*this, message);
    }
  }
  void on_timeout() override {
    push("SIP/2.0 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
    hang_up();
  }
  void on_left(const std::set<CallId>& open) override {
    for (const CallId call : open) front_.requester_left(*this, call);
    front_.resend_unread(*this);
  }
  void on_unanswered(const std::set<CallId>& established) override {
    for (const CallId call : established) front_.core_.release(call, front_);
  }
  [[nodiscard]] bool answers_open() const override { return true; }

 private:
  friend class SipFrontend;
  SipFrontend& front_;
  membership::PendingReleases releases_{kReleases};  // sent here; guarded by the frontend's lock
};

}  // namespace reeltack::platform
