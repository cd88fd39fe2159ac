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

#include "mosspath/config/settings.h"
#include "mosspath/net/http_client.h"
#include "mosspath/service/controller.h"

namespace mosspath::cli {
namespace {

using wire::Json;

constexpr int kFailed = 1;   // no answer, or one that says to come back later
constexpr int kBadUse = 2;   // bad settings or arguments
constexpr int kRefused = 3;  // the service understood and said no
constexpr double kTimeoutS = 10;

void SetUpLog(const std::string& node) {
  auto log = spdlog::stderr_logger_st("mosspath");
  log->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + node + " %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level != nullptr ? level : "info";
  log->set_level(name == "error"   ? spdlog::level::err
                 : name == "debug" ? spdlog::level::debug
                                   : spdlog::level::info);
  spdlog::set_default_logger(std::move(log));
}

int Serve(const config::Settings& settings) {
  SetUpLog(settings.name);
  asio::io_context io(1);
  service::Controller node(io, settings);
  node.Start();
  io.run();
  return 0;
}

net::HttpResult Ask(const std::string& server, const std::string& method, const std::string& target,
                    const std::string& body) {
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

// Prints an answer, as JSON or for people, and turns its status into the exit code.
int Show(const net::HttpResult& r, bool json, const std::function<std::string(const Json&)>& tell) {
  if (r.status == 0) {
    std::cerr << "mosspath: no answer\n";
    return kFailed;
  }
  const Json body = Json::parse(r.body, nullptr, false);
  if (r.status != 200 && r.status != 201) {
    const std::string error =
        body.is_object() ? body.value("error", r.body) : std::to_string(r.status);
    std::cerr << "mosspath: " << error << " (" << r.status << ")\n";
    return r.status == 429 || r.status >= 500 ? kFailed : kRefused;
  }
  if (json || !body.is_object()) {
    std::cout << r.body << '\n';
  } else {
    std::cout << tell(body) << '\n';
  }
  return 0;
}

std::string TellJob(const Json& j) {
  std::string out = j.value("id", "") + " " + j.value("stage", "");
  if (j.contains("done")) {
    out += ", " + std::to_string(j.value("done", 0)) + " done, " +
           std::to_string(j.value("running", 0)) + " running";
  }
  return out;
}

std::string TellSettings(const Json& j) {
  std::string out = "version " + std::to_string(j.value("version", uint64_t{0}));
  const Json settings = j.value("settings", Json::object());
  for (const auto& [key, v] : settings.items()) {
    out += "\n" + key + " = " + v.dump();
  }
  return out;
}

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

int SetSettings(const std::string& server, const std::vector<std::string>& assignments, bool json) {
  Json changes = Json::object();
  for (const auto& a : assignments) {
    const size_t equals = a.find('=');
    const Json value =
        equals == std::string::npos ? Json() : Json::parse(a.substr(equals + 1), nullptr, false);
    if (equals == std::string::npos || value.is_discarded()) {
      std::cerr << "mosspath: not of the form NAME=VALUE: " << a << '\n';
      return kBadUse;
    }
    changes[a.substr(0, equals)] = value;
  }
  const net::HttpResult now = Ask(server, "GET", "/admin/v1/settings", {});
  const Json body = Json::parse(now.body, nullptr, false);
  if (now.status != 200 || !body.is_object()) return Show(now, json, TellSettings);
  const Json request{{"version", body.value("version", uint64_t{0})}, {"settings", changes}};
  return Show(Ask(server, "PUT", "/admin/v1/settings", request.dump()), json, TellSettings);
}

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app{
      "mosspath: a cluster scheduler.\nWith --config it serves as a controller node until it is "
      "killed; the subcommands talk to a running service."};
  std::string path;
  bool check = false;
  bool json = false;
  std::string server = "127.0.0.1:8080";
  std::string admin = "127.0.0.1:8081";
  std::string argument;
  std::vector<std::string> assignments;
  app.add_option("--config", path, "The settings file (TOML)")->type_name("FILE");
  app.add_flag("--check", check, "With --config: validate the settings and exit");
  bool lease_blocks = false;
  app.add_flag("--lease-blocks", lease_blocks,
               "With --config: controllers hold blocks of machines (docs/blocks.md)");
  app.set_version_flag("--version", std::string("mosspath ") + MOSSPATH_VERSION);
  app.require_subcommand(0, 1);

  const auto command = [&](CLI::App* parent, const char* name, const char* help) {
    CLI::App* c = parent->add_subcommand(name, help);
    c->add_flag("--json", json, "Print the service's JSON answer");
    return c;
  };
  const auto user_command = [&](const char* name, const char* help) {
    CLI::App* c = command(&app, name, help);
    c->add_option("--server", server, "A node's public address")->type_name("ADDRESS:PORT");
    return c;
  };
  CLI::App* submit = user_command("submit", "Submit a job");
  submit->add_option("job", argument, "A file with the job in JSON, or - for standard input")
      ->required();
  CLI::App* get = user_command("get", "Show a job's state");
  get->add_option("id", argument, "The job's id")->required();
  CLI::App* cancel = user_command("cancel", "Cancel a job");
  cancel->add_option("id", argument, "The job's id")->required();
  CLI::App* status = user_command("status", "Show machines, queues, objectives and troubles");
  CLI::App* settings = app.add_subcommand("settings", "Read or change the operators' settings");
  settings->require_subcommand(1);
  settings->add_option("--server", admin, "A node's back address")->type_name("ADDRESS:PORT");
  CLI::App* settings_get = command(settings, "get", "Show them");
  CLI::App* settings_set = command(settings, "set", "Change some of them");
  settings_set->add_option("changes", assignments, "NAME=VALUE")->required();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadUse;
  }
  try {
    if (submit->parsed()) {
      return Show(Ask(server, "POST", "/api/jobs", ReadAll(argument)), json, TellJob);
    }
    if (get->parsed()) {
      return Show(Ask(server, "GET", "/api/jobs/" + argument, {}), json, TellJob);
    }
    if (cancel->parsed()) {
      return Show(Ask(server, "POST", "/api/jobs/" + argument + "/cancel", {}), json, TellJob);
    }
    if (status->parsed()) {
      return Show(Ask(server, "GET", json ? "/status.json" : "/status", {}), json, TellJob);
    }
    if (settings_get->parsed()) {
      return Show(Ask(admin, "GET", "/admin/v1/settings", {}), json, TellSettings);
    }
    if (settings_set->parsed()) return SetSettings(admin, assignments, json);
    if (path.empty()) {
      std::cerr << "mosspath: --config FILE or a subcommand is needed; see --help\n";
      return kBadUse;
    }
    config::Settings s = config::Load(path);
    s.lease_shards = lease_blocks;
    if (check) {
      std::cout << "settings are valid\n";
      return 0;
    }
    return Serve(s);
  } catch (const config::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return kBadUse;
  } catch (const std::exception& e) {
    std::cerr << "mosspath: " << e.what() << '\n';
    return kFailed;
  }
}

}  // namespace mosspath::cli
