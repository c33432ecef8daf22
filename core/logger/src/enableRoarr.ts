/** Roarr writes nothing unless this is set before it is loaded; the level is decided here instead. */
process.env.ROARR_LOG = 'true'
