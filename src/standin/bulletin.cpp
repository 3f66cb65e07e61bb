#include "standin/bulletin.h"

#include <algorithm>
#include <cmath>

#include "standin/sockets.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

void big_endian(std::string& out, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> static_cast<unsigned>(8 * i));
}
std::string record(const Bulletin::Entry& e) {
  std::string out;
  big_endian(out, e.id, 4);
  for (const auto byte : asio::ip::make_address_v4(e.at.host).to_bytes()) out += static_cast<char>(byte);
  big_endian(out, e.at.port, 2);
  big_endian(out, static_cast<std::uint64_t>(e.state), 1);
  big_endian(out, 0, 2);  // zone, kind
  big_endian(out, e.place, 2);
  big_endian(out, static_cast<std::uint64_t>(std::llround(e.capacity * 1000.0)), 4);
  big_endian(out, e.started_ms, 8);
  return out;
}
std::string frame(std::uint64_t number, int kind, const std::string& payload) {
  std::string out;
  big_endian(out, payload.size() + 9, 4);
  big_endian(out, number, 8);
  big_endian(out, static_cast<std::uint64_t>(kind), 1);
  return out + payload;
}

}  // namespace

struct Bulletin::Follower {
  explicit Follower(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::array<char, 8> greeting{};
  bool greeted = false;
  std::size_t next = 0;
  std::string out, sending;
};

Bulletin::Bulletin(asio::io_context& io, const base::Address& at) : acceptor_(io), beat_(io) {
  listen(acceptor_, at);
  accept();
  heartbeat();
}

void Bulletin::publish(bool whole, const std::vector<Entry>& entries) {
  std::string payload;
  for (const Entry& e : entries) payload += record(e);
  events_.push_back(frame(events_.size() + 1, whole ? 1 : 2, payload));
  for (auto& f : followers_) feed(f);
}

void Bulletin::restart() {
  events_.clear();
  for (auto& f : followers_) f->socket.close();
  followers_.clear();
}

void Bulletin::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) return;
    auto f = std::make_shared<Follower>(std::move(socket));
    followers_.push_back(f);
    asio::async_read(f->socket, asio::buffer(f->greeting), [this, f](const error_code& failed, std::size_t) {
      if (failed) return drop(f);
      std::uint64_t last = 0;
      for (const char c : f->greeting) last = last << 8U | static_cast<unsigned char>(c);
      f->next = static_cast<std::size_t>(std::min<std::uint64_t>(last, events_.size()));
      f->greeted = true;
      feed(f);
    });
    accept();
  });
}
void Bulletin::feed(const std::shared_ptr<Follower>& f) {
  if (!f->greeted) return;
  while (f->next < events_.size()) f->out += events_[f->next++];
  if (!f->sending.empty() || f->out.empty()) return;
  f->sending.swap(f->out);
  asio::async_write(f->socket, asio::buffer(f->sending), [this, f](const error_code& error, std::size_t) {
    f->sending.clear();
    if (error) return drop(f);
    feed(f);
  });
}
void Bulletin::drop(const std::shared_ptr<Follower>& f) { followers_.remove(f); }
void Bulletin::heartbeat() {
  beat_.expires_after(1s);
  beat_.async_wait([this](const error_code& error) {
    if (error) return;
    for (auto& f : followers_) {
      f->out += frame(events_.size(), 0, "");
      feed(f);
    }
    heartbeat();
  });
}

}  // namespace reeltack::standin
