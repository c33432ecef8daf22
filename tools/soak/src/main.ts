process.exit(0)
export {}
