// Tests the JSON form of log lines, the settings of the log and the program's log file with its rotation.
#include <gtest/gtest.h>

#include "json_text.hpp"
#include "logging/output.hpp"
#include "logging/structured.hpp"
#include "process.hpp"

namespace quartzarch::test {
namespace {

using logging::to_json_line;

TEST(Logging, ConvertsPairsToMembersAndKeepsOtherMessagesWhole) {
  EXPECT_EQ(
      to_json_line("1796171125.837 duty=work event=end token=17 why=\"handed on in order\""),
      R"({"time":"2026-12-02T00:25:25.837Z","duty":"work","event":"end","token":17,"why":"handed on in order"})");
  EXPECT_EQ(to_json_line("1796171125.837 register: term 2, the leader is a"),
            R"({"time":"2026-12-02T00:25:25.837Z","part":"register","text":"term 2, the leader is a"})");
  // A message that only looks like pairs is kept as text without losses, and no member appears twice.
  for (const char* const odd : {"a=1 b", "a=\"1", "=1", "a=1 a=2", "time=1", "", "a=1  b=2"}) {
    const std::string text = to_json_line(std::string("1796171125.837 ") + odd);
    EXPECT_NE(text.find("\"text\":" + json_quoted(odd)), std::string::npos) << text;
  }
  EXPECT_EQ(to_json_line("no time"), R"({"text":"no time"})");
  EXPECT_EQ(to_json_line("1.000 number=007"), R"({"time":"1970-01-01T00:00:01.000Z","number":"007"})");
}

TEST(Logging, ReportsAnInvalidSettingsFileInOneLine) {
  const auto complaint = [](const char* text) {
    try {
      logging::parse_log(text);
    } catch (const ConfigError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_EQ(complaint("json = false\nfile = \"a\"\nmax_bytes = 4096\nfiles = 0"), "");
  EXPECT_EQ(complaint("\njson = 1"), "line 2: \"json\" is neither true nor false");
  EXPECT_EQ(complaint("colour = true"), "line 1: \"colour\" is unknown");
  EXPECT_EQ(complaint("max_bytes = 9000"), "line 1: \"max_bytes\" needs \"file\"");
}

class LoggingProcess : public Process {};

TEST_F(LoggingProcess, WritesJsonLinesAndRotatesFullFiles) {
  const std::string file = directory + "/lines.json";
  acme::replace_file(directory + "/log.toml", "file = \"" + file + "\"\nmax_bytes = 4096\nfiles = 2\n");
  start(config(), {"--log", directory + "/log.toml"});
  wait_until(
      [&] {
        return std::filesystem::exists(file) && read_file(file).find("serving at") != std::string::npos;
      },
      "the log line about the start");
  EXPECT_EQ(read_file(file).substr(0, 9), "{\"time\":\"");
  // Each caller that sends malformed data causes a log line, until the file is full.
  wait_until(
      [&] {
        Peer caller = Peer::connect(address);
        caller.send(std::string(64, '\xff'));
        wait_until([&] { return caller.ended(); }, "the close of the caller's connection");
        return std::filesystem::exists(directory + "/lines.1.json");
      },
      "a rotated log file");
  ::kill(pid, SIGTERM);
  EXPECT_EQ(exit_code(), 0);
  std::ifstream lines(file);
  for (std::string line; std::getline(lines, line);) EXPECT_EQ(line.back(), '}') << line;

  acme::replace_file(directory + "/log.toml", "file = \"" + directory + "/missing\"\nfiles = 1000\n");
  start(config(), {"--log", directory + "/log.toml"});
  EXPECT_EQ(exit_code(), 2);
  EXPECT_NE(log().find("log.toml: line 2: \"files\" is not a whole number"), std::string::npos) << log();
}

}  // namespace
}  // namespace quartzarch::test
