#include "ctl/ctl_module.h"

#include <iostream>

int main(int argc, char** argv) {
    const auto system = oriole::ctl::make_system_environment();
    oriole::ctl::ctl_module module(*system);
    return module.run({argv + 1, argv + argc}, std::cout, std::cerr);
}
