#include "heatherridge_coordination/heatherridge_coordination.h"
