/**
 * The parts of undici that the servers use. The index of undici would also load fetch, WebSocket,
 * caches and mocks.
 */
module.exports = {
  Agent: require("../node_modules/undici/lib/dispatcher/agent.js"),
  Client: require("../node_modules/undici/lib/dispatcher/client.js"),
  Pool: require("../node_modules/undici/lib/dispatcher/pool.js"),
};
Object.assign(
  require("../node_modules/undici/lib/dispatcher/dispatcher.js").prototype,
  require("../node_modules/undici/lib/api/index.js"),
);
