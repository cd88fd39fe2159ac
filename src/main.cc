#include "mosspath/cli/cli.h"

int main(int argc, char** argv) { return mosspath::cli::Main(argc, argv); }
