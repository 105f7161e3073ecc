#include "command.hpp"
int tamarackhoist::programs::replay_trace(const arguments&,
                                          const command_options&)
{
    return 2;
}
