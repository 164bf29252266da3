// A planned stop while clients go on sending on their open connections: no accepted request is lost, and the
// process has exited before the earliest SIGKILL, whatever the deadlines of the deployment are.
#include "core/stop.hpp"

#include <list>

#include "process.hpp"

namespace quartzarch::test {
namespace {

using Clock = std::chrono::steady_clock;

TEST(StopSchedule, EndsBeforeTheEarliestKillOfEveryDeployment) {
  for (const int deadline : {0, 100, 500, 900, 1300, 2500, 3000, 9000}) {
    for (const int aim : {0, 100, 800, 1500, 9000}) {
      const StopSchedule schedule{milliseconds(deadline), milliseconds(aim)};
      const Duration kill = milliseconds(std::min(deadline, 3000) + 700);
      EXPECT_LT(schedule.end_by(), kill);
      EXPECT_LT(schedule.answer_by(), schedule.end_by());
      EXPECT_LE(schedule.refuse_from(), schedule.answer_by());
      EXPECT_LE(schedule.last_arrivals(), schedule.end_by());
    }
  }
}

struct Deployment {
  int deadline_ms;
  bool servers_hang;
};

// A client that in every step reads what has arrived and sends the next set-up, if `in_pieces` in two halves.
class BusyClient {
 public:
  BusyClient(const sockaddr_in& to, CallId first, bool in_pieces)
      : peer_(Peer::connect(to)), next_(first), in_pieces_(in_pieces) {}

  void step(int deadline_ms) {
    read();
    if (peer_.ended()) return;
    if (!rest_.empty()) {
      send(std::exchange(rest_, {}));
      return;
    }
    const std::string whole = setup(++next_, "d", std::to_string(deadline_ms));
    pending_ = next_;
    if (!in_pieces_) return send(whole);
    ::send(peer_fd(), whole.data(), whole.size() / 2, MSG_NOSIGNAL);
    rest_ = whole.substr(whole.size() / 2);
  }
  void read() {
    for (std::string bytes = left_ + peer_.take_received(); true;) {
      const std::size_t length =
          bytes.size() < 2 ? 0 : std::size_t(std::uint8_t(bytes[0])) << 8 | std::uint8_t(bytes[1]);
      if (bytes.size() < 2 || bytes.size() < 2 + length) {
        left_ = bytes;
        break;
      }
      CallId call = 0;
      for (std::size_t i = 3; i < 11; ++i) call = call << 8 | std::uint8_t(bytes[i]);
      ++answers_[call];
      sent_.erase(call);
      bytes.erase(0, 2 + length);
    }
    if (peer_.ended() && !ended_) ended_ = Clock::now();
  }
  // Number of unanswered set-ups that were sent too early to have crossed the close of the connection.
  std::size_t lost() const {
    std::size_t found = 0;
    for (const auto& [call, at] : sent_) {
      const bool last = call == last_whole_;  // the server may have closed before reading it
      found += !ended_ || (!last && *ended_ - at > milliseconds(50));
    }
    return found;
  }
  bool answered_twice() const {
    return std::any_of(answers_.begin(), answers_.end(), [](const auto& each) { return each.second > 1; });
  }

 private:
  int peer_fd() const { return peer_.descriptor(); }
  void send(const std::string& bytes) {
    const ssize_t written = ::send(peer_fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (written != static_cast<ssize_t>(bytes.size())) return;  // the socket did not take all of it
    sent_[pending_] = Clock::now();
    last_whole_ = pending_;
  }

  Peer peer_;
  CallId next_;
  CallId pending_ = 0, last_whole_ = 0;
  bool in_pieces_;
  std::string rest_, left_;
  std::map<CallId, Clock::time_point> sent_;
  std::map<CallId, int> answers_;
  std::optional<Clock::time_point> ended_;
};

class StopUnderLoad : public Process, public ::testing::WithParamInterface<Deployment> {};

TEST_P(StopUnderLoad, LosesNothingAndEndsBeforeTheEarliestKill) {
  const int deadline = GetParam().deadline_ms;
  std::string text = config();
  const std::string before = R"("aim":1500,"deadline":9000)";
  text.replace(text.find(before), before.size(),
               "\"aim\":" + std::to_string(deadline / 2) + ",\"deadline\":" + std::to_string(deadline));
  start(text);
  std::list<Peer> connections;
  wait_until(
      [&] {
        return static_cast<bool>(connections.emplace_back(listener.accept())) ||
               (connections.pop_back(), false);
      },
      "its connection");
  wait_until_serving();
  std::list<BusyClient> clients;
  for (CallId i = 0; i < 6; ++i) clients.emplace_back(address, (i + 1) << 32, i >= 4);
  const auto step = [&] {
    while (Peer more = listener.accept()) connections.push_back(std::move(more));
    for (Peer& connection : connections) {
      const std::string said = connection.take_received();
      if (GetParam().servers_hang) continue;
      for (auto at = said.find("\"offer\""); at != std::string::npos; at = said.find("\"offer\"", at + 1)) {
        const std::string id = said.substr(at + 16, 16);
        if (id.size() == 16)
          connection.send_if_open("{\"op\":\"accept\",\"call\":\"" + id + "\",\"with\":{},\"desc\":\"s\"}\n");
      }
    }
    for (BusyClient& client : clients) client.step(deadline);
    ::poll(nullptr, 0, 10);
  };
  for (int i = 0; i < 30; ++i) step();
  ::kill(pid, SIGTERM);
  const auto kill_at = Clock::now() + milliseconds(std::min(deadline, 3000) + 700);
  int status = -1;
  bool over = false;
  while (!over && Clock::now() < kill_at) {
    step();
    over = ::waitpid(pid, &status, WNOHANG) == pid;
  }
  EXPECT_TRUE(over) << "still there at the earliest kill\n" << log();
  if (!over) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, &status, 0);
  } else {
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << log();
  }
  pid = 0;
  std::size_t lost = 0;
  for (BusyClient& client : clients) {
    client.read();
    lost += client.lost();
    EXPECT_FALSE(client.answered_twice());
  }
  EXPECT_EQ(lost, 0u);
}

INSTANTIATE_TEST_SUITE_P(Deadlines, StopUnderLoad,
                         ::testing::Values(Deployment{500, false}, Deployment{500, true},
                                           Deployment{1300, false}, Deployment{1300, true},
                                           Deployment{2500, true}),
                         [](const auto& each) {
                           return "Deadline" + std::to_string(each.param.deadline_ms) +
                                  (each.param.servers_hang ? "ServersHang" : "ServersWell");
                         });

}  // namespace
}  // namespace quartzarch::test
