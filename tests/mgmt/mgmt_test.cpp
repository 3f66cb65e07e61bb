// The management address: its form byte by byte, the figures' text, and the server against callers that
// stall, flood it or send what is no text. No kit; loopback only.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <string>
#include <vector>

#include "figures/figures.h"
#include "mgmt/client.h"
#include "mgmt/line.h"
#include "mgmt/server.h"

namespace reeltack {
namespace {

using mgmt::Taken;

TEST(MgmtLine, EveryCutOfARequestWaitsForMoreUntilTheEndOfLine) {
  for (const std::string whole : {"READY\n", "STATS\r\n", "  STATS  \n"}) {
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
      const std::string part = whole.substr(0, cut);
      const bool crlf_cut = !part.empty() && part.back() == '\r';
      if (crlf_cut) continue;  // a lone CR is no text until its LF comes
      EXPECT_EQ(mgmt::take(part).kind, Taken::Kind::more) << "cut at " << cut << " of '" << whole << "'";
    }
    EXPECT_EQ(mgmt::take(whole).kind, Taken::Kind::request) << whole;
  }
  EXPECT_EQ(mgmt::take("STATS\n").verb, mgmt::Verb::stats);
  EXPECT_EQ(mgmt::take("READY\n").verb, mgmt::Verb::ready);
}

TEST(MgmtLine, WhatIsNoRequestGetsAnErrorThatSaysWhy) {
  const auto error_of = [](std::string_view bytes) {
    const Taken t = mgmt::take(bytes);
    EXPECT_EQ(t.kind, Taken::Kind::error) << bytes;
    return mgmt::answer(t, {});
  };
  EXPECT_EQ(error_of("stats\n").rfind("ERR unknown verb 'stats'", 0), 0u);
  EXPECT_EQ(error_of("\n").rfind("ERR empty line", 0), 0u);
  EXPECT_EQ(error_of(std::string("ST\xff")).rfind("ERR not text: byte 255", 0),
            0u);  // before any end of line
  EXPECT_EQ(error_of(std::string(mgmt::kMostLine + 1, 'A')).rfind("ERR line over", 0), 0u);
  EXPECT_EQ(error_of(std::string("RE\0ADY\n", 7)).rfind("ERR not text: byte 0", 0), 0u);
}

TEST(MgmtLine, AnswersBeginWithOkOrErrAndStatsEndsWithEnd) {
  const Taken ready = mgmt::take("READY\n");
  EXPECT_EQ(mgmt::answer(ready, {true, {}}), "OK ready\n");
  EXPECT_EQ(mgmt::answer(ready, {false, {}}), "ERR not ready\n");
  EXPECT_EQ(mgmt::answer(mgmt::take("STATS\n"), {false, [] { return std::string("proxy.inflight=3\n"); }}),
            "OK\nproxy.inflight=3\nEND\n");
}

TEST(Figures, CountEachEndUnderItsClassAndLeaveUnknownClassesOut) {
  figures::Metrics f(2);
  f.count_request(0, figures::Outcome::success);
  f.count_request(0, figures::Outcome::success);
  f.count_request(1, figures::Outcome::busy);
  f.count_request(1, figures::Outcome::failure);
  f.count_request(7, figures::Outcome::failure);  // no such class
  f.count_attempt();
  f.count_attempt();
  f.count_attempt();
  f.set_hosts(5, 2);
  EXPECT_EQ(f.render({"a", "b"}, 4),
            "proxy.success.a=2\nproxy.success.b=0\nproxy.busy.a=0\nproxy.busy.b=1\n"
            "proxy.failure.a=0\nproxy.failure.b=1\nproxy.backend_calls=3\nproxy.inflight=4\n"
            "proxy.hosts_listed=5\nproxy.hosts_down=2\n");
}

// ---------------------------------------------------------------- the server on loopback

net::Fd connect_to(std::uint16_t port) {
  net::Dialled up = net::dial({"127.0.0.1", port}, net::now() + std::chrono::seconds(10));
  EXPECT_EQ(up.how, net::Dial::up);
  return std::move(up.fd);
}
std::uint16_t free_port() {
  net::Fd fd(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  socklen_t size = sizeof at;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
// All that comes until the peer closes.
std::string read_to_end(const net::Fd& fd) {
  std::string out;
  char chunk[1024];
  for (ssize_t n; (n = ::recv(fd.get(), chunk, sizeof chunk, 0)) > 0;)
    out.append(chunk, static_cast<std::size_t>(n));
  return out;
}
std::string ask(std::uint16_t port, const std::string& request) {
  const net::Fd fd = connect_to(port);
  ::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL);
  return read_to_end(fd);
}
bool still_open(const net::Fd& fd) {
  char c;
  return ::recv(fd.get(), &c, 1, MSG_DONTWAIT | MSG_PEEK) < 0 && errno == EAGAIN;
}

struct Running {
  std::uint16_t port = free_port();
  mgmt::Server server{[] { return mgmt::State{true, [] { return std::string("proxy.inflight=0\n"); }}; }};
  Running() { server.open({"127.0.0.1", port}); }
};

TEST(MgmtServer, AnswersStatsWhileAnotherCallerStallsWithHalfALine) {
  Running r;
  const net::Fd silent = connect_to(r.port);
  const net::Fd half = connect_to(r.port);
  ::send(half.get(), "STA", 3, MSG_NOSIGNAL);
  EXPECT_EQ(ask(r.port, "STATS\n"), "OK\nproxy.inflight=0\nEND\n");
  // Answered while both stallers are still held: they did not stand in its way.
  EXPECT_TRUE(still_open(silent));
  EXPECT_TRUE(still_open(half));
  // And then they are let go with a reason, by the idle limit.
  EXPECT_EQ(read_to_end(half).rfind("ERR idle", 0), 0u);
  EXPECT_EQ(read_to_end(silent).rfind("ERR idle", 0), 0u);
  EXPECT_EQ(r.server.counts().idle.load(), 2u);
}

TEST(MgmtServer, PastTheBoundNewCallersAreRefusedAtOnceAndTheBoundFreesAgain) {
  Running r;
  std::vector<net::Fd> flood;
  for (std::size_t i = 0; i < mgmt::kMostCallers; ++i) flood.push_back(connect_to(r.port));
  // Every place is held by a silent caller: the next one hears so at once, well before any idle limit.
  for (int i = 0; i < 3; ++i) EXPECT_EQ(ask(r.port, "STATS\n").rfind("ERR busy", 0), 0u);
  EXPECT_EQ(r.server.counts().refused.load(), 3u);
  flood.clear();
  // Once they have gone (seen by the loop within a turn), callers are served again.
  std::string answer;
  for (int i = 0; i < 100 && answer.rfind("OK", 0) != 0; ++i) {
    answer = ask(r.port, "READY\n");
    if (answer.rfind("OK", 0) != 0) ::poll(nullptr, 0, 20);
  }
  EXPECT_EQ(answer, "OK ready\n");
}

TEST(MgmtServer, BytesThatAreNoTextAndLinesTooLongGetErrAndAClose) {
  Running r;
  EXPECT_EQ(ask(r.port, std::string("\x16\x03\x01\x02\x00", 5)).rfind("ERR not text", 0), 0u);
  EXPECT_EQ(ask(r.port, std::string(4000, 'S')).rfind("ERR line over", 0), 0u);
  EXPECT_EQ(ask(r.port, "HELLO\n").rfind("ERR unknown verb", 0), 0u);
  EXPECT_EQ(r.server.counts().errors.load(), 3u);
}

TEST(MgmtServer, TwoProcessesMayListenOnOnePortAsInAHandover) {
  Running old_one;
  mgmt::Server new_one{[] { return mgmt::State{false, {}}; }};
  EXPECT_NO_THROW(new_one.open({"127.0.0.1", old_one.port}));
}

// ---------------------------------------------------------------- the caller's side

TEST(MgmtClient, ReadsWhatTheServerWritesAndNamesTheLineOfWhatItCannot) {
  figures::Metrics f(1);
  f.count_request(0, figures::Outcome::success);
  const auto read = mgmt::parse_figures("OK\n" + f.render({"a"}, 7) + "END\n");
  EXPECT_EQ(read.at("success.a"), 1U);
  EXPECT_EQ(read.at("inflight"), 7U);
  EXPECT_EQ(read.size(), 7U);
  const auto fault = [](const std::string& text) {
    try {
      mgmt::parse_figures(text);
    } catch (const mgmt::MgmtError& error) {
      return std::string(error.what());
    }
    return std::string("taken");
  };
  EXPECT_EQ(fault("OK\nproxy.a=1\n"), "line 3: must be ended by a line feed before END, not ''");
  EXPECT_EQ(fault("OK\nproxy.a=1\nproxy.b=x\nEND\n"),
            "line 3: must be proxy.NAME=VALUE with a whole number, not 'proxy.b=x'");
  EXPECT_EQ(fault("OK\nproxy.a=1\nproxy.a=1\nEND\n"),
            "line 3: must be a figure not told before, not 'proxy.a=1'");
  EXPECT_EQ(fault("ERR busy\n"), "line 1: must be OK, not 'ERR busy'");
}

TEST(MgmtClient, AsksOnceAndSaysWhoDidNotAnswer) {
  Running r;
  EXPECT_TRUE(mgmt::ask({"127.0.0.1", r.port}, "READY", net::now() + std::chrono::seconds(10)).ok);
  EXPECT_FALSE(mgmt::ask({"127.0.0.1", r.port}, "WHAT", net::now() + std::chrono::seconds(10)).ok);
  const net::Address nobody{"127.0.0.1", free_port()};
  EXPECT_THROW(mgmt::ask(nobody, "READY", net::now() + std::chrono::seconds(1)), mgmt::MgmtError);
  const net::Address deaf{"127.0.0.1", free_port()};
  const net::Fd listener = net::listen_on(deaf);  // lets callers in, and never speaks
  EXPECT_THROW(mgmt::ask(deaf, "READY", net::now() + std::chrono::milliseconds(100)), mgmt::MgmtError);
}

TEST(MgmtClient, AWatchCountsWhatIsAnsweredAndWhatIsNot) {
  int asked = 0;
  const auto three = [&asked](Time) { return asked++ < 3; };
  {
    Running r;
    const auto seen = mgmt::watch_figures({"127.0.0.1", r.port}, std::chrono::milliseconds(1), three);
    EXPECT_EQ(seen.answered(), 3U);
    EXPECT_TRUE(seen.failures().empty());
  }
  asked = 0;
  const auto seen = mgmt::watch_figures({"127.0.0.1", free_port()}, std::chrono::milliseconds(1), three);
  EXPECT_EQ(seen.answered(), 0U);
  EXPECT_EQ(seen.failures().size(), 3U);
}

TEST(MgmtClient, PercentilesAreThoseOfTheSortedTimes) {
  mgmt::Watch w;
  EXPECT_EQ(w.percentile(0.5), Duration{});
  for (int i = 100; i >= 1; --i) w.took(std::chrono::milliseconds(i));
  EXPECT_EQ(w.percentile(0.5), std::chrono::milliseconds(50));
  EXPECT_EQ(w.percentile(0.99), std::chrono::milliseconds(99));
  EXPECT_EQ(w.percentile(1.0), std::chrono::milliseconds(100));
  EXPECT_EQ(w.late(std::chrono::milliseconds(90)), 10U);
}

}  // namespace
}  // namespace reeltack
