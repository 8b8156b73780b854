/**
 * What a node is configured with: the platform's configuration ({@link edgenode.config.NodeConfig},
 * watched by {@link edgenode.config.ConfigFileWatcher}), the policy's settings in it ({@link
 * edgenode.config.PolicySettingsReader}) and the operators' own TOML file ({@link
 * edgenode.config.OperatorSettings}), which is read only where it is named.
 */
package edgenode.config;
