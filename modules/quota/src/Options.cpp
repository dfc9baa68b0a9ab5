#include "Options.h"
