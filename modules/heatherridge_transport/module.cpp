#include "heatherridge_transport/heatherridge_transport.h"
