#include "loopback.hpp"
