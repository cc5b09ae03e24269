"""The replicated state of jobs: data types, commands and how they are applied."""
