#include "standin/far_end.h"

#include <future>
#include <map>
#include <thread>
#include <utility>
#include <variant>

#include "base/asio.h"
#include "load/plan/description.h"
#include "standin/sockets.h"
#include "standin/trunk_connection.h"
#include "trunk/codec.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using boost::system::error_code;
using circuits::Kind;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);  // between two looks at the group's timers
constexpr std::uint64_t kStepsAPing = 10;
constexpr std::uint32_t kPatienceMs = 3000;
constexpr int kSwitchCongestion = 42;  // Q.850

}  // namespace

class FarEnd::World : private TrunkConnectionOwner {
 public:
  explicit World(FarEndSettings settings)
      : settings_(std::move(settings)),
        timer_(io_),
        group_(std::make_unique<circuits::Group>(settings_.circuits)),
        connection_(io_, settings_.dial, settings_.listen, *this) {
    thread_ = std::thread([this] { io_.run(); });
  }
  ~World() override {
    asio::post(io_, [this] { io_.stop(); });
    thread_.join();
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  template <class Task>
  void post(Task task) {
    asio::post(io_, std::move(task));
  }
  void place(std::uint64_t call, const std::string& call_class, std::uint32_t first_choice, Duration hold) {
    ++counts_.placed;
    const trunk::SetUpWords set_up{call_class, call, kPatienceMs, first_choice, false};
    holds_[call] = hold;
    circuits::GroupActions actions;
    if (group_->seize(base::now(), call, actions) != circuits::Refusal::none) ++counts_.not_sent;
    carry_out(actions, set_up, "", nullptr);
  }
  void restart() {
    connection_.drop();
    group_ = std::make_unique<circuits::Group>(settings_.circuits);
    holds_.clear();
    ++incarnation_;
  }
  void cut() { connection_.drop(); }
  void delay(Duration each) { connection_.delay(each); }
  void lose(circuits::Cic first, std::uint32_t count, bool lost) {
    circuits::GroupActions actions;
    lost ? group_->lose(base::now(), first, count, actions)
         : group_->restore(base::now(), first, count, actions);
    carry_out(actions, {}, "", nullptr);
  }
  Counts counts() {
    Counts out = counts_;
    out.group = group_->counts();
    out.busy = group_->busy();
    out.selectable = group_->selectable();
    out.up = group_->up();
    return out;
  }

 private:
  trunk::Hello hello() override {
    trunk::Hello out;
    out.group = settings_.group;
    out.circuits = settings_.hello_size.value_or(settings_.circuits.size);
    out.point_code = settings_.circuits.own;
    out.far_point_code = settings_.circuits.far;
    out.controls_even = group_->controls(0) != settings_.hello_same_control;
    out.incarnation = incarnation_;
    return out;
  }
  void connected() override {
    ++counts_.connections;
    circuits::GroupActions actions;
    group_->connected(base::now(), actions);
    carry_out(actions, {}, "", nullptr);
    if (!settings_.hostile.empty()) connection_.write(settings_.hostile);
    arm();
  }
  void broken() override {
    circuits::GroupActions actions;
    group_->disconnected(base::now(), actions);
    carry_out(actions, {}, "", nullptr);
  }
  bool received(const trunk::Signal& signal) override {
    circuits::GroupActions actions;
    const bool good = group_->receive(base::now(), signal.message, actions);
    if (!good) ++counts_.faults;
    carry_out(actions, {}, "", &signal);
    return good;
  }
  void arm() {
    timer_.expires_after(kStep);
    timer_.async_wait([this](const error_code& error) {
      if (error) return;
      circuits::GroupActions actions;
      group_->fire(base::now(), actions);
      carry_out(actions, {}, "", nullptr);
      if (connection_.greeted() && group_->up() && ++steps_ % kStepsAPing == 0)
        connection_.write(trunk::encode_ping());
      arm();
    });
  }
  void carry_out(const circuits::GroupActions& actions, const trunk::SetUpWords& set_up,
                 const std::string& description, const trunk::Signal* from) {
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<circuits::Send>(&a)) {
        trunk::Signal signal;
        signal.message = s->message;
        if (s->message.kind == Kind::iam) {
          signal.set_up = set_up;
          signal.description = "o=far\r\n";
        }
        if (s->message.kind == Kind::anm) signal.description = description;
        connection_.write(trunk::encode(signal));
      } else if (const auto* o = std::get_if<circuits::Offered>(&a)) {
        offered(o->call, from == nullptr ? 0 : from->set_up.number);
      } else if (const auto* n = std::get_if<circuits::Answered>(&a)) {
        ++counts_.answered_out;
        later(io_, holds_[n->call], [this, call = n->call] { hang_up(call, true); });
      } else if (std::get_if<circuits::SeizureLost>(&a) != nullptr) {
        ++counts_.not_sent;
      } else if (const auto* v = std::get_if<circuits::Ended>(&a)) {
        if (v->outgoing && !v->established) ++counts_.ended_out;
        if (v->established) ++counts_.over_stood;
      }
    }
  }
  void offered(std::uint64_t call, std::uint64_t number) {
    ++counts_.offered;
    const bool refuse = settings_.refuse_every > 0 &&
                        counts_.offered % static_cast<std::uint64_t>(settings_.refuse_every) == 0;
    const auto act = [this, call, number, refuse] {
      circuits::GroupActions actions;
      if (!group_->holds(call, false)) return;
      if (refuse) {
        ++counts_.refused_in;
        group_->release(base::now(), call, false, kSwitchCongestion, actions);
      } else {
        ++counts_.answered_in;
        group_->answer(base::now(), call, actions);
        if (settings_.hold > Duration{}) later(io_, settings_.hold, [this, call] { hang_up(call, false); });
      }
      carry_out(actions, {}, load::endpoint_description(call, "s-0000fa00", number), nullptr);
    };
    if (settings_.answer_after > Duration{}) {
      later(io_, settings_.answer_after, act);
    } else {
      asio::post(io_, act);
    }
  }
  void hang_up(std::uint64_t call, bool outgoing) {
    circuits::GroupActions actions;
    group_->release(base::now(), call, outgoing, circuits::kNormalClearing, actions);
    carry_out(actions, {}, "", nullptr);
  }

  const FarEndSettings settings_;
  asio::io_context io_{1};
  asio::steady_timer timer_;
  std::unique_ptr<circuits::Group> group_;
  TrunkConnection connection_;
  std::map<std::uint64_t, Duration> holds_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t steps_ = 0;
  Counts counts_;
  std::thread thread_;
};

FarEnd::FarEnd(FarEndSettings settings) : world_(std::make_unique<World>(std::move(settings))) {}
FarEnd::~FarEnd() = default;
void FarEnd::place(std::uint64_t call, const std::string& call_class, std::uint32_t first_choice,
                   Duration hold) {
  world_->post(
      [this, call, call_class, first_choice, hold] { world_->place(call, call_class, first_choice, hold); });
}
void FarEnd::delay(Duration each) {
  world_->post([this, each] { world_->delay(each); });
}
void FarEnd::hang(Duration span) {
  world_->post([span] { std::this_thread::sleep_for(span); });
}
void FarEnd::restart() {
  world_->post([this] { world_->restart(); });
}
void FarEnd::cut() {
  world_->post([this] { world_->cut(); });
}
void FarEnd::lose(circuits::Cic first, std::uint32_t count, bool lost) {
  world_->post([=, this] { world_->lose(first, count, lost); });
}
FarEnd::Counts FarEnd::counts() const {
  std::promise<Counts> out;
  world_->post([&] { out.set_value(world_->counts()); });
  return out.get_future().get();
}

}  // namespace reeltack::standin
