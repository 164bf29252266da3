#include "logging/output.hpp"

#include <spdlog/sinks/rotating_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <string>

#include "config.hpp"
#include "logging/structured.hpp"

namespace quartzarch::logging {

// Splits what Logger writes into lines and passes them to spdlog.
struct Output::Sink {
  explicit Sink(const Settings& settings) : json(settings.json) {
    spdlog::sink_ptr target;
    if (settings.file.empty()) {
      target = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    } else {
      target = std::make_shared<spdlog::sinks::rotating_file_sink_mt>(settings.file, settings.max_bytes,
                                                                      settings.files);
    }
    logger = std::make_unique<spdlog::logger>("quartzarch", target);
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    // Write errors, such as a full disk, are ignored: reporting them would only write more.
    logger->set_error_handler([](const std::string&) {});
  }
  // Logger flushes after each line, so the bytes usually end with a line. An incomplete line is buffered
  // until the rest arrives.
  void write(std::string_view bytes) {
    partial_line += bytes;
    std::size_t begin = 0;
    for (std::size_t end; (end = partial_line.find('\n', begin)) != std::string::npos; begin = end + 1) {
      const std::string_view line(partial_line.data() + begin, end - begin);
      if (json) {
        logger->info("{}", to_json_line(line));
      } else {
        logger->info("{}", line);
      }
    }
    partial_line.erase(0, begin);
  }

  bool json;
  std::unique_ptr<spdlog::logger> logger;
  std::string partial_line;
};

Output::Output(Logger& log, const Settings& settings) : log_(log) {
  try {
    sink_ = std::make_unique<Sink>(settings);
  } catch (const spdlog::spdlog_ex& error) {
    throw ConfigError(std::string("\"file\" ") + error.what());
  }
  cookie_io_functions_t io{};
  io.write = [](void* sink, const char* bytes, std::size_t size) {
    static_cast<Sink*>(sink)->write({bytes, size});
    return static_cast<ssize_t>(size);
  };
  stream_ = ::fopencookie(sink_.get(), "w", io);
  if (!stream_) throw ConfigError("cannot create the log stream: out of memory");
  log_.write_to(stream_);
}

Output::~Output() {
  log_.write_to(stderr);
  std::fclose(stream_);
}

}  // namespace quartzarch::logging
