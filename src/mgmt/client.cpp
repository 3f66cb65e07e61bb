#include "mgmt/client.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace reeltack::mgmt {

Reply ask(const net::Address& at, const std::string& verb, Time by) {
  const Time from = net::now();
  const std::string what = verb + " at " + net::to_text(at) + ": ";
  const net::Dialled up = net::dial(at, by);
  if (up.how != net::Dial::up)
    throw MgmtError(what + (up.how == net::Dial::refused ? "nobody listens there" : "no connection in time"));
  if (!net::write_all(up.fd, verb + "\n", by)) throw MgmtError(what + "the question could not be written");
  Reply out;
  net::Buffer buffer;
  for (;;) {
    const net::ReadResult got = buffer.fill(up.fd, by);
    if (got == net::ReadResult::no_data) throw MgmtError(what + "no whole answer in time");
    out.text.append(buffer.view());
    buffer.take(buffer.view().size());
    if (got == net::ReadResult::closed) break;
  }
  out.took = net::now() - from;
  out.ok = out.text.rfind("OK", 0) == 0;
  if (!out.ok && out.text.rfind("ERR", 0) != 0)
    throw MgmtError(what + "must begin with OK or ERR, not '" + out.text.substr(0, 32) + "'");
  return out;
}

std::map<std::string, std::uint64_t> parse_figures(const std::string& text) {
  std::map<std::string, std::uint64_t> out;
  std::string_view rest = text;
  for (int number = 1;; ++number) {
    const std::size_t end = rest.find('\n');
    const std::string_view line = rest.substr(0, end);
    const auto wrong = [&](const char* wanted) {
      throw MgmtError("line " + std::to_string(number) + ": must be " + wanted + ", not '" +
                      std::string(line.substr(0, 64)) + "'");
    };
    if (end == std::string_view::npos) wrong("ended by a line feed before END");
    rest.remove_prefix(end + 1);
    if (number == 1) {
      if (line != "OK") wrong("OK");
      continue;
    }
    if (line == "END") return out;
    const std::size_t equals = line.find('=');
    if (line.rfind("proxy.", 0) != 0 || equals == std::string_view::npos) wrong("proxy.NAME=VALUE");
    std::uint64_t value = 0;
    const char* last = line.data() + line.size();
    const auto [at, error] = std::from_chars(line.data() + equals + 1, last, value);
    if (error != std::errc{} || at != last) wrong("proxy.NAME=VALUE with a whole number");
    if (!out.emplace(line.substr(6, equals - 6), value).second) wrong("a figure not told before");
  }
}

Watch watch_figures(const net::Address& at, Duration every, const std::function<bool(Time)>& more) {
  constexpr Duration kGivenUp = std::chrono::seconds(4);
  Watch out;
  for (Time planned = net::now(); more(planned); planned += every) {
    net::pause_until(planned);
    try {
      parse_figures(ask(at, "STATS", planned + kGivenUp).text);
      out.took(net::now() - planned);
    } catch (const MgmtError& error) {
      out.failed(error.what());
    }
  }
  return out;
}

std::size_t Watch::late(Duration bound) const {
  return static_cast<std::size_t>(
      std::count_if(times_.begin(), times_.end(), [bound](Duration d) { return d > bound; }));
}

Duration Watch::percentile(double part) const {
  if (times_.empty()) return {};
  std::vector<Duration> sorted = times_;
  std::sort(sorted.begin(), sorted.end());
  const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

}  // namespace reeltack::mgmt
