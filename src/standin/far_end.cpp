#include "standin/far_end.h"

#include <deque>
#include <future>
#include <map>
#include <thread>

#include "base/asio.h"
#include "load/plan/description.h"
#include "trunk/codec.h"

namespace reeltack::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using circuits::Kind;
using namespace std::chrono_literals;

class FarEnd::World {
 public:
  explicit World(FarEndSettings settings)
      : settings_(std::move(settings)),
        acceptor_(io_),
        socket_(io_),
        timer_(io_),
        again_(io_),
        delayed_(io_),
        group_(std::make_unique<circuits::Group>(settings_.circuits)) {
    if (settings_.listen) {
      const tcp::endpoint to(asio::ip::make_address(settings_.listen->host), settings_.listen->port);
      try {
        acceptor_.open(to.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(to);
        acceptor_.listen();
      } catch (const boost::system::system_error& error) {
        throw std::runtime_error("cannot listen on " + base::to_text(*settings_.listen) + ": " +
                                 error.code().message());
      }
      accept();
    } else {
      dial();
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~World() {
    asio::post(io_, [this] { io_.stop(); });
    thread_.join();
  }
  template <class Task>
  void post(Task task) {
    asio::post(io_, std::move(task));
  }
  void place(std::uint64_t call, const std::string& call_class, std::uint32_t first_choice, Duration hold) {
    ++counts_.placed;
    trunk::SetUpWords words{call_class, call, 3000, first_choice, false};
    holds_[call] = hold;
    circuits::GroupActions actions;
    if (group_->seize(base::now(), call, actions) != circuits::Refusal::none) ++counts_.not_sent;
    carry_out(actions, words, "", nullptr);
  }
  void restart() {
    drop_connection();
    group_ = std::make_unique<circuits::Group>(settings_.circuits);
    holds_.clear();
    ++incarnation_;
  }
  void drop_connection() {
    ++generation_;
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    went_down();
    dial_again();
  }
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
  Duration delay{};

 private:
  void accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      if (socket_.is_open()) drop_connection();
      socket_ = std::move(socket);
      begin();
      accept();
    });
  }
  void dial() {
    const tcp::endpoint to(asio::ip::make_address(settings_.dial->host), settings_.dial->port);
    socket_ = tcp::socket(io_);
    socket_.async_connect(to, [this, generation = generation_](const error_code& error) {
      if (generation != generation_) return;
      error ? dial_again() : begin();
    });
  }
  void dial_again() {
    if (!settings_.dial) return;
    again_.expires_after(100ms);
    again_.async_wait([this](const error_code& error) {
      if (!error) dial();
    });
  }
  void begin() {
    ++generation_;
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    in_.clear();
    out_.clear();
    sending_.clear();
    greeted_ = false;
    trunk::Hello hello;
    hello.group = settings_.group;
    hello.circuits = settings_.hello_size.value_or(settings_.circuits.size);
    hello.point_code = settings_.circuits.own;
    hello.far_point_code = settings_.circuits.far;
    hello.controls_even = group_->controls(0) != settings_.hello_same_control;
    hello.incarnation = incarnation_;
    write(trunk::encode(hello));
    read();
  }
  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [this, generation = generation_](const error_code& error, std::size_t n) {
                              if (generation != generation_) return;
                              if (error) {
                                error_code ignored;
                                socket_.close(ignored);
                                went_down();
                                return dial_again();
                              }
                              in_.append(chunk_.data(), n);
                              take_all();
                              if (generation == generation_) read();
                            });
  }
  void take_all() {
    for (;;) {
      std::size_t used = 0;
      const auto frame =
          trunk::decode(in_, used);  // what reeltack sends is never malformed: a throw ends the test
      in_.erase(0, used);
      if (!frame) return;
      if (frame->hello) {
        greeted_ = true;
        ++counts_.connections;
        circuits::GroupActions actions;
        group_->connected(base::now(), actions);
        carry_out(actions, {}, "", nullptr);
        if (!settings_.hostile.empty()) write(settings_.hostile);
        arm();
      } else if (frame->signal && greeted_) {
        waiting_.emplace_back(base::now() + delay, *frame->signal);
        if (delay > Duration{}) {
          if (waiting_.size() == 1) wait_for_first();
        } else {
          take_waiting();
        }
      }
    }
  }
  void wait_for_first() {
    delayed_.expires_after(std::max<Duration>(waiting_.front().first - base::now(), Duration{}));
    delayed_.async_wait([this, generation = generation_](const error_code& error) {
      if (error || generation != generation_) return;
      take_waiting();
    });
  }
  void take_waiting() {
    while (!waiting_.empty() && waiting_.front().first <= base::now()) {
      const trunk::Signal signal = std::move(waiting_.front().second);
      waiting_.pop_front();
      circuits::GroupActions actions;
      if (!group_->take(base::now(), signal.message, actions)) {
        ++counts_.faults;
        carry_out(actions, {}, "", &signal);
        return drop_connection();
      }
      carry_out(actions, {}, "", &signal);
    }
    if (!waiting_.empty()) wait_for_first();
  }
  void went_down() {
    waiting_.clear();
    circuits::GroupActions actions;
    group_->broken(base::now(), actions);
    carry_out(actions, {}, "", nullptr);
  }
  void arm() {
    timer_.expires_after(50ms);
    timer_.async_wait([this](const error_code& error) {
      if (error) return;
      circuits::GroupActions actions;
      group_->fire(base::now(), actions);
      carry_out(actions, {}, "", nullptr);
      if (greeted_ && group_->up() && ++beats_ % 10 == 0) write(trunk::encode_ping());
      arm();
    });
  }
  void later(Duration span, std::function<void()> task) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(span);
    timer->async_wait([timer, task = std::move(task)](const error_code& error) {
      if (!error) task();
    });
  }
  void carry_out(const circuits::GroupActions& actions, const trunk::SetUpWords& words,
                 const std::string& description, const trunk::Signal* from) {
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<circuits::Send>(&a)) {
        trunk::Signal signal;
        signal.message = s->message;
        if (s->message.kind == Kind::iam) {
          signal.set_up = words;
          signal.description = "o=far\r\n";
        }
        if (s->message.kind == Kind::anm) signal.description = description;
        write(trunk::encode(signal));
      } else if (const auto* o = std::get_if<circuits::Offered>(&a)) {
        offered(o->call, from == nullptr ? 0 : from->set_up.number);
      } else if (const auto* n = std::get_if<circuits::Answered>(&a)) {
        ++counts_.answered_out;
        later(holds_[n->call], [this, call = n->call] { hang_up(call, true); });
      } else if (std::get_if<circuits::NotSent>(&a) != nullptr) {
        ++counts_.not_sent;
      } else if (const auto* v = std::get_if<circuits::Over>(&a)) {
        if (v->outgoing && !v->stood) ++counts_.ended_out;
        if (v->stood) ++counts_.over_stood;
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
        group_->release(base::now(), call, false, 42, actions);
      } else {
        ++counts_.answered_in;
        group_->answer(base::now(), call, actions);
        if (settings_.hold > Duration{}) later(settings_.hold, [this, call] { hang_up(call, false); });
      }
      carry_out(actions, {}, load::endpoint_description(call, "s-0000fa00", number), nullptr);
    };
    if (settings_.answer_after > Duration{}) {
      later(settings_.answer_after, act);
    } else {
      asio::post(io_, act);
    }
  }
  void hang_up(std::uint64_t call, bool outgoing) {
    circuits::GroupActions actions;
    group_->release(base::now(), call, outgoing, circuits::kNormalClearing, actions);
    carry_out(actions, {}, "", nullptr);
  }
  void write(const std::string& bytes) {
    if (!socket_.is_open()) return;
    out_ += bytes;
    if (!sending_.empty()) return;
    flush();
  }
  void flush() {
    sending_.swap(out_);
    asio::async_write(socket_, asio::buffer(sending_),
                      [this, generation = generation_](const error_code& error, std::size_t) {
                        if (generation != generation_) return;
                        sending_.clear();
                        if (!error && !out_.empty()) flush();
                      });
  }

  const FarEndSettings settings_;
  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer again_;
  asio::steady_timer delayed_;
  std::unique_ptr<circuits::Group> group_;
  std::array<char, 16384> chunk_{};
  std::string in_;
  std::string out_;
  std::string sending_;
  std::deque<std::pair<Time, trunk::Signal>> waiting_;
  std::map<std::uint64_t, Duration> holds_;
  bool greeted_ = false;
  std::uint64_t generation_ = 0;
  std::uint64_t incarnation_ = 1;
  std::uint64_t beats_ = 0;
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
  world_->post([this, each] { world_->delay = each; });
}
void FarEnd::restart() {
  world_->post([this] { world_->restart(); });
}
void FarEnd::cut() {
  world_->post([this] { world_->drop_connection(); });
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
