/**
 * Implementations of the ports.
 *
 * @module
 */
export * as backOff from "./back_off.ts";
export * as clock from "./clock.ts";
export * as configRepository from "./config_repository.ts";
export * as drainingList from "./draining_list.ts";
export * as headRepository from "./head_repository.ts";
export * as history from "./history.ts";
export * as log from "./log.ts";
export * as peerCodec from "./peer_codec.ts";
export * as peerLinks from "./peer_links.ts";
export * as peerListener from "./peer_listener.ts";
export * as peerTls from "./peer_tls.ts";
export * as platformClient from "./platform_client.ts";
export * as platformStore from "./platform_store.ts";
export * as runtimeFlags from "./runtime_flags.ts";
export * as settings from "./settings.ts";
export * as storedJson from "./stored_json.ts";
