// A caller's connection, for the files of the front alone.
//
// Owns: the cutting of what comes into messages, and the releases that went here and may not have been read.
// Must never: decide on a call, or know what a message asks for.
//
// Threads: as net::Peer; its releases are guarded by the front's lock.
#pragma once

#include "membership/releases.h"
#include "platform/sip.h"

namespace reeltack::platform {

// A caller that is there reads at once: what it left unread for longer it had read, or is out of reach.
// Longer than our own delay in hearing of its end on a loaded machine, and shorter than a caller waits until
// it closes an idle connection (4 s).
inline constexpr membership::PendingReleasesSettings kReleases{.settled = std::chrono::seconds(3),
                                                               .most = 256};

// `echoed`: the headers of the request that its answer repeats.
std::string sip_answer(int status, const char* reason, const std::string& echoed,
                       const std::string& more = "", const std::string& body = "");

// A caller's connection.
class SipConnection final : public net::Peer {
 public:
  SipConnection(SipFrontend& front, net::Fd fd) : net::Peer(std::move(fd)), front_(front) {}

 protected:
  Next received() override {
    const auto self = std::static_pointer_cast<SipConnection>(shared_from_this());
    for (;;) {
      SipMessage message;
      std::size_t used = 0;
      const Parsed parsed = parse_sip(buffer_.view(), message, used);
      buffer_.take(used);
      if (parsed == Parsed::more) return Next::more;
      if (parsed == Parsed::malformed) {
        push("SIP/2.0 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        return hang_up();
      }
      whole();
      // Where it ends is known, so that what follows is understood.
      if (!front_.take(self, message)) push(sip_answer(400, "Bad Request", message.echoed()));
    }
  }
  // Set-ups cross our close and come again; a release is not repeated.
  [[nodiscard]] bool takes_after_close() const override { return true; }
  void received_after_close() override {
    for (;;) {
      SipMessage message;
      std::size_t used = 0;
      const Parsed parsed = parse_sip(buffer_.view(), message, used);
      if (parsed == Parsed::malformed) return buffer_.take(buffer_.view().size());
      buffer_.take(used);
      if (parsed == Parsed::more) return;
      front_.take_after_close(*this, message);
    }
  }
  void late() override {
    push("SIP/2.0 408 Request Timeout\r\nContent-Length: 0\r\n\r\n");
    hang_up();
  }
  void left(const std::set<CallId>& open) override {
    for (const CallId call : open) front_.requester_left(*this, call);
    front_.unheard(*this);
  }
  void unanswered(const std::set<CallId>& standing) override {
    for (const CallId call : standing) front_.core_.release(call, front_);
  }
  [[nodiscard]] bool answers_open() const override { return true; }

 private:
  friend class SipFrontend;
  SipFrontend& front_;
  membership::Releases releases_{kReleases};  // that went here; with the front's lock
};

}  // namespace reeltack::platform
