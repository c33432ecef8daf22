/** Roarr writes nothing unless this is set before it is loaded. The level is applied by createLogger. */
process.env.ROARR_LOG = 'true'
