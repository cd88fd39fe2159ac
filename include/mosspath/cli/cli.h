// The program's command line.
#pragma once

namespace mosspath::cli {

// Runs a controller or a subcommand, and returns the process's exit code.
int Main(int argc, char** argv);

}  // namespace mosspath::cli
