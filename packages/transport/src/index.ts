/** gRPC services between the system's own processes. */
export {};
