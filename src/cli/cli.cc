#include "mosspath/cli/cli.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "mosspath/config/settings.h"
#include "mosspath/net/http_client.h"
#include "mosspath/service/controller.h"
#include "mosspath/service/http_paths.h"

namespace mosspath::cli {
namespace {

using wire::Json;

constexpr int kFailed = 1;      // no response, or a status that allows a retry (429 or 5xx)
constexpr int kUsageError = 2;  // bad settings or arguments
constexpr int kRejected = 3;    // the service rejected the request
constexpr double kTimeoutS = 10;

void ConfigureLogging(const std::string& node) {
  auto log = spdlog::stderr_logger_st("mosspath");
  log->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + node + " %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level != nullptr ? level : "info";
  log->set_level(name == "error"   ? spdlog::level::err
                 : name == "debug" ? spdlog::level::debug
                                   : spdlog::level::info);
  spdlog::set_default_logger(std::move(log));
}

// Runs a controller until the process is killed.
int Serve(const config::Settings& settings) {
  ConfigureLogging(settings.name);
  asio::io_context io(1);
  service::Controller controller(io, settings);
  controller.Start();
  io.run();
  return 0;
}

// Sends one request and waits for its response or the timeout.
net::HttpResult SendRequest(const std::string& server, const std::string& method,
                            const std::string& target, const std::string& body) {
  asio::io_context io(1);
  net::HttpClient client(io, server, {});
  net::HttpResult result;
  client.Send(method, target, body, kTimeoutS, [&](net::HttpResult r) {
    result = std::move(r);
    io.stop();
  });
  io.run();
  return result;
}

// Prints a response, as JSON or in the text form of `format`, and returns the exit code for its
// status.
int PrintResult(const net::HttpResult& r, bool json,
                const std::function<std::string(const Json&)>& format) {
  if (r.status == 0) {
    std::cerr << "mosspath: no response\n";
    return kFailed;
  }
  const Json body = Json::parse(r.body, nullptr, false);
  if (r.status != 200 && r.status != 201) {
    const std::string error =
        body.is_object() ? body.value("error", r.body) : std::to_string(r.status);
    std::cerr << "mosspath: " << error << " (" << r.status << ")\n";
    return r.status == 429 || r.status >= 500 ? kFailed : kRejected;
  }
  if (json || !body.is_object()) {
    std::cout << r.body << '\n';
  } else {
    std::cout << format(body) << '\n';
  }
  return 0;
}

std::string FormatJob(const Json& j) {
  std::string out = j.value("id", "") + " " + j.value("stage", "");
  if (j.contains("done")) {
    out += ", " + std::to_string(j.value("done", 0)) + " done, " +
           std::to_string(j.value("running", 0)) + " running";
  }
  return out;
}

std::string FormatSettings(const Json& j) {
  std::string out = "version " + std::to_string(j.value("version", uint64_t{0}));
  const Json settings = j.value("settings", Json::object());
  for (const auto& [key, v] : settings.items()) {
    out += "\n" + key + " = " + v.dump();
  }
  return out;
}

// Reads a whole file, or standard input if `path` is "-".
std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
  } else {
    std::ifstream in(path);
    if (!in) throw std::runtime_error("can't read " + path);
    text << in.rdbuf();
  }
  return text.str();
}

// Reads the version of the current settings, then sends the assignments with that version. The
// service rejects the assignments if the settings have changed in between.
int SetSettings(const std::string& server, const std::vector<std::string>& assignments, bool json) {
  Json changes = Json::object();
  for (const auto& a : assignments) {
    const size_t equals = a.find('=');
    const Json value =
        equals == std::string::npos ? Json() : Json::parse(a.substr(equals + 1), nullptr, false);
    if (equals == std::string::npos || value.is_discarded()) {
      std::cerr << "mosspath: not of the form NAME=VALUE: " << a << '\n';
      return kUsageError;
    }
    changes[a.substr(0, equals)] = value;
  }
  const net::HttpResult current =
      SendRequest(server, "GET", std::string(service::paths::kOperatorSettings), {});
  const Json body = Json::parse(current.body, nullptr, false);
  if (current.status != 200 || !body.is_object()) return PrintResult(current, json, FormatSettings);
  const Json request{{"version", body.value("version", uint64_t{0})}, {"settings", changes}};
  return PrintResult(
      SendRequest(server, "PUT", std::string(service::paths::kOperatorSettings), request.dump()),
      json, FormatSettings);
}

// The arguments of all subcommands. Arguments that the command line does not set keep their
// defaults.
struct Arguments {
  std::string settings_file;
  bool check_only = false;
  bool lease_shards = false;
  bool json = false;
  std::string public_address = "127.0.0.1:8080";
  std::string peer_address = "127.0.0.1:8081";
  std::string job_file;
  std::string job_id;
  std::vector<std::string> assignments;  // NAME=VALUE
};

// A subcommand and the function that runs it and returns the exit code.
struct Subcommand {
  CLI::App* parser = nullptr;  // owned by the application's parser
  std::function<int(const Arguments&)> run;
};

std::string JobPath(const std::string& id) { return std::string(service::paths::kJobs) + "/" + id; }

int RunSubmit(const Arguments& arguments) {
  return PrintResult(SendRequest(arguments.public_address, "POST",
                                 std::string(service::paths::kJobs), ReadAll(arguments.job_file)),
                     arguments.json, FormatJob);
}

int RunGet(const Arguments& arguments) {
  return PrintResult(SendRequest(arguments.public_address, "GET", JobPath(arguments.job_id), {}),
                     arguments.json, FormatJob);
}

int RunCancel(const Arguments& arguments) {
  const std::string path = JobPath(arguments.job_id) + std::string(service::paths::kCancelSuffix);
  return PrintResult(SendRequest(arguments.public_address, "POST", path, {}), arguments.json,
                     FormatJob);
}

int RunStatus(const Arguments& arguments) {
  const auto path = arguments.json ? service::paths::kStatusJson : service::paths::kStatusPage;
  return PrintResult(SendRequest(arguments.public_address, "GET", std::string(path), {}),
                     arguments.json, FormatJob);
}

int RunSettingsGet(const Arguments& arguments) {
  return PrintResult(SendRequest(arguments.peer_address, "GET",
                                 std::string(service::paths::kOperatorSettings), {}),
                     arguments.json, FormatSettings);
}

int RunSettingsSet(const Arguments& arguments) {
  return SetSettings(arguments.peer_address, arguments.assignments, arguments.json);
}

int RunController(const Arguments& arguments) {
  if (arguments.settings_file.empty()) {
    std::cerr << "mosspath: --config FILE or a subcommand is required; see --help\n";
    return kUsageError;
  }
  config::Settings settings = config::Load(arguments.settings_file);
  settings.lease_shards = arguments.lease_shards;
  if (arguments.check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return Serve(settings);
}

void AddControllerOptions(CLI::App& app, Arguments& arguments) {
  app.add_option("--config", arguments.settings_file, "The settings file (TOML)")
      ->type_name("FILE");
  app.add_flag("--check", arguments.check_only, "With --config: validate the settings and exit");
  app.add_flag(
      "--lease-blocks", arguments.lease_shards,
      "With --config: controllers hold leases on shards of the machines (docs/sharding.md)");
  app.set_version_flag("--version", std::string("mosspath ") + MOSSPATH_VERSION);
  app.require_subcommand(0, 1);
}

CLI::App* AddSubcommand(CLI::App& parent, const char* name, const char* help,
                        Arguments& arguments) {
  CLI::App* parser = parent.add_subcommand(name, help);
  parser->add_flag("--json", arguments.json, "Print the service's JSON response");
  return parser;
}

CLI::App* AddUserSubcommand(CLI::App& app, const char* name, const char* help,
                            Arguments& arguments) {
  CLI::App* parser = AddSubcommand(app, name, help, arguments);
  parser->add_option("--server", arguments.public_address, "The public address of a controller")
      ->type_name("ADDRESS:PORT");
  return parser;
}

std::vector<Subcommand> AddUserSubcommands(CLI::App& app, Arguments& arguments) {
  CLI::App* submit = AddUserSubcommand(app, "submit", "Submit a job", arguments);
  submit
      ->add_option("job", arguments.job_file,
                   "A file with the job in JSON, or - for standard input")
      ->required();
  CLI::App* get = AddUserSubcommand(app, "get", "Show a job's state", arguments);
  get->add_option("id", arguments.job_id, "The job's id")->required();
  CLI::App* cancel = AddUserSubcommand(app, "cancel", "Cancel a job", arguments);
  cancel->add_option("id", arguments.job_id, "The job's id")->required();
  CLI::App* status = AddUserSubcommand(
      app, "status", "Show machines, queues, objectives and recent problems", arguments);
  return {{submit, RunSubmit}, {get, RunGet}, {cancel, RunCancel}, {status, RunStatus}};
}

std::vector<Subcommand> AddSettingsSubcommands(CLI::App& app, Arguments& arguments) {
  CLI::App* settings = app.add_subcommand("settings", "Read or change the operator settings");
  settings->require_subcommand(1);
  settings
      ->add_option("--server", arguments.peer_address,
                   "The peer address of a controller (its setting back)")
      ->type_name("ADDRESS:PORT");
  CLI::App* get = AddSubcommand(*settings, "get", "Show the settings", arguments);
  CLI::App* set = AddSubcommand(*settings, "set", "Change settings", arguments);
  set->add_option("changes", arguments.assignments, "NAME=VALUE")->required();
  return {{get, RunSettingsGet}, {set, RunSettingsSet}};
}

// Runs the subcommand on the command line, or the controller if there is no subcommand.
int Run(const std::vector<Subcommand>& subcommands, const Arguments& arguments) {
  for (const Subcommand& subcommand : subcommands) {
    if (subcommand.parser->parsed()) return subcommand.run(arguments);
  }
  return RunController(arguments);
}

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app{
      "mosspath: a cluster scheduler.\nWith --config it runs as a "
      "controller until it is "
      "killed; the subcommands send requests to a running service."};
  Arguments arguments;
  AddControllerOptions(app, arguments);
  std::vector<Subcommand> subcommands = AddUserSubcommands(app, arguments);
  for (Subcommand& subcommand : AddSettingsSubcommands(app, arguments)) {
    subcommands.push_back(std::move(subcommand));
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUsageError;
  }
  try {
    return Run(subcommands, arguments);
  } catch (const config::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return kUsageError;
  } catch (const std::exception& e) {
    std::cerr << "mosspath: " << e.what() << '\n';
    return kFailed;
  }
}

}  // namespace mosspath::cli
