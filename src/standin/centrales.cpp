#include "standin/centrales.h"

#include <algorithm>
#include <future>
#include <mutex>
#include <thread>

#include "base/asio.h"
#include "base/wall_clock.h"
#include "standin/bulletin.h"
#include "standin/centrale.h"
#include "standin/sockets.h"
#include "standin/troubles.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using load::OfficeEvent;
using namespace std::chrono_literals;

class Centrales::World final : Troubles::Holder {
 public:
  explicit World(CentralesSettings settings) : settings_(std::move(settings)) {
    if (settings_.bulletin) bulletin_.emplace(io_, *settings_.bulletin);
    for (std::size_t i = 0; i < settings_.centrales.size(); ++i) {
      entries_.push_back(entry_of(settings_.centrales[i]));
      last_id_ = std::max(last_id_, settings_.centrales[i].id);
      // From long before: the first centrales are warm.
      put(i, settings_.centrales[i], base::now() - 24h);
    }
    publish(true, entries_);
    for (const Trouble& t : settings_.troubles) troubles_.schedule(t);
    thread_ = std::thread([this] { run(); });
  }
  ~World() override {
    asio::post(io_, [this] { io_.stop(); });
    thread_.join();
    centrales_.clear();
    retired_.clear();
  }

  std::vector<OfficeEvent> take_log() {
    std::vector<OfficeEvent> out;
    {
      const std::lock_guard hold(lock_);
      out.swap(log_);
    }
    // What was heard is noted when it is read, with the time when it came.
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return out;
  }
  std::string known() const {
    const std::lock_guard hold(lock_);
    std::string list;
    for (const Bulletin::Entry& e : listed_) {
      if (e.state == 2) continue;
      list += std::string(list.empty() ? "" : ",") + R"({"name":")" + base::office_name(ServerId{e.id}) +
              R"(","address":")" + base::to_text(e.at) + R"(","group":)" + std::to_string(e.place) +
              R"(,"status":")" + (e.state == 0 ? "in_service" : "terminating") + R"(","weight":)" +
              std::to_string(e.capacity) + R"(,"since_ms":)" + std::to_string(e.started_ms) + "}";
    }
    const std::string no = std::to_string(events_);
    return R"({"no":)" + no + R"(,"items":[{"no":)" + no + R"(,"roster":{"snapshot":true,"endpoints":[)" +
           list + "]}}]}";
  }
  void befall(const Trouble& trouble) {
    asio::post(io_, [this, trouble] { troubles_.begin(trouble); });
  }
  Counts counts() {
    Counts out;
    std::promise<void> done;
    asio::post(io_, [&] {
      for (const auto& c : centrales_) c->add_to(out);
      for (const auto& c : retired_) c->add_to(out);
      done.set_value();
    });
    done.get_future().wait();
    return out;
  }

 private:
  static Bulletin::Entry entry_of(const CentraleSettings& c) {
    return {c.id, c.at, 0, c.place, c.capacity, 0};
  }
  void put(std::size_t i, const CentraleSettings& c, Time started) {
    auto made = std::make_unique<Centrale>(io_, c, settings_.seed, started,
                                           [this](OfficeEvent e, Centrale::Known known) { see(e, known); });
    if (i < centrales_.size()) {
      retired_.push_back(std::move(centrales_[i]));
      centrales_[i] = std::move(made);
    } else {
      centrales_.push_back(std::move(made));
    }
  }
  void run() {
    while (!io_.stopped()) {
      const Time before = base::now();
      io_.poll();  // all that has come
      all_heard_ = before;
      io_.run_one();
    }
  }
  void see(OfficeEvent event, Centrale::Known known) {
    if (known == Centrale::Known::by_its_end) event.earliest = std::min(all_heard_, event.at);
    const std::lock_guard hold(lock_);
    log_.push_back(event);
  }
  // What is told of a centrale that registers itself is its own affair, not the bulletin's.
  void publish(bool whole, std::vector<Bulletin::Entry> entries) {
    std::erase_if(entries, [this](const Bulletin::Entry& e) {
      return std::any_of(
          settings_.centrales.begin(), settings_.centrales.end(),
          [&e](const CentraleSettings& c) { return c.id == e.id && c.wire == CentraleWire::ws; });
    });
    if (entries.empty() && !whole) return;
    {
      const std::lock_guard hold(lock_);
      ++events_;
      if (whole) {
        listed_ = entries;
      } else {
        for (const auto& e : entries) {
          const auto found =
              std::find_if(listed_.begin(), listed_.end(), [&e](const auto& l) { return l.id == e.id; });
          if (found != listed_.end())
            *found = e;
          else
            listed_.push_back(e);
        }
      }
      for (const auto& e : entries) {
        const auto what = e.state == 0   ? OfficeEvent::What::in_service
                          : e.state == 1 ? OfficeEvent::What::draining
                                         : OfficeEvent::What::gone;
        log_.push_back({base::now(), what, e.id, 0, 0, 0});
      }
    }
    if (bulletin_) bulletin_->publish(whole, entries);
  }
  Centrale& centrale(std::size_t i) override { return *centrales_[i]; }
  void begin_anew(std::size_t i, bool new_name) override {
    stand_up(i, new_name ? ++last_id_ : entries_[i].id);
  }
  void tell(std::size_t i, int state) override {
    entries_[i].state = state;
    const Bulletin::Entry e = entries_[i];
    later(io_, settings_.bulletin_delay, [this, e] { publish(false, {e}); });
  }

  // A cold process at the old address, told with its start; where the address is still taken, once it is
  // free.
  void stand_up(std::size_t i, std::uint32_t id) {
    CentraleSettings next = settings_.centrales[i];
    next.id = id;
    try {
      put(i, next, base::now());
    } catch (const std::runtime_error&) {
      return later(io_, 50ms, [this, i, id] { stand_up(i, id); });
    }
    entries_[i] = entry_of(next);
    entries_[i].started_ms = static_cast<std::uint64_t>(clocks::unix_ms(base::wall_now()));
    tell(i, 0);
  }

  const CentralesSettings settings_;
  asio::io_context io_{1};
  Troubles troubles_{io_, *this};
  std::optional<Bulletin> bulletin_;
  std::vector<std::unique_ptr<Centrale>> centrales_;
  std::vector<std::unique_ptr<Centrale>> retired_;
  std::vector<Bulletin::Entry> entries_;
  std::uint32_t last_id_ = 0;
  Time all_heard_ = base::now();  // what has come until then has been heard; its thread's own
  mutable std::mutex lock_;       // guards what follows
  std::vector<OfficeEvent> log_;
  std::vector<Bulletin::Entry> listed_;
  std::uint64_t events_ = 0;
  std::thread thread_;
};

Centrales::Centrales(CentralesSettings settings) : world_(std::make_unique<World>(std::move(settings))) {}
Centrales::~Centrales() = default;
std::vector<OfficeEvent> Centrales::take_log() { return world_->take_log(); }
void Centrales::befall(const Trouble& trouble) { world_->befall(trouble); }
std::string Centrales::known_json() const { return world_->known(); }
Centrales::Counts Centrales::counts() const { return world_->counts(); }

}  // namespace reeltack::standin
