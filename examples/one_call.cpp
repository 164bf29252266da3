// Offers one call to a controller that knows one server, and prints the set-up that the controller sends.
#include <cstdio>
#include <quartzarch/controller.hpp>

int main() {
  using namespace std::chrono_literals;

  quartzarch::Settings settings;
  settings.classes = {{.aim = 2s, .deadline = 9s}};

  quartzarch::Controller controller(settings, /*seed=*/1, /*now=*/0s);
  const quartzarch::ServerId server{{10, 0, 0, 1}, 5060};
  controller.handle(0s,
                    quartzarch::ServerList{.is_snapshot = true, .entries = {{.id = server, .number = 0}}});

  quartzarch::CallArrived call;
  call.call = 1;
  call.first_choice = 0;
  call.caller_timeout = 3s;
  for (const auto& action : controller.handle(10ms, call)) {
    if (const auto* setup = std::get_if<quartzarch::SendSetup>(&action)) {
      std::printf("set up call %llu at %d.%d.%d.%d:%d\n", static_cast<unsigned long long>(setup->call),
                  setup->server.address[0], setup->server.address[1], setup->server.address[2],
                  setup->server.address[3], setup->server.port);
    }
  }
}
