/** Key of the configuration in the key-value service. */
export const configurationKey = 'slategauge/configuration';
