//! Backend choice with a slow server, lagging load reports, cold starts and shedding.
